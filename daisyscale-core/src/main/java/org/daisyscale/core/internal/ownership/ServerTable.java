package org.daisyscale.core.internal.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;

/**
 * Records the results of this router's own probes and grants for each backend server. Not thread-safe; confined to the
 * core thread.
 */
public final class ServerTable implements CoreComponent {
    private final TimingSettings timing;
    private final Map<String, ServerState> states = new TreeMap<>();

    /** Creates an empty table. */
    public ServerTable(TimingSettings timing) {
        this.timing = timing;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.ProbeAnswered answered) {
            states.put(answered.server(), state(answered.server()).answered(answered));
        } else if (event instanceof Event.ProbeFailed failed) {
            states.put(failed.server(), state(failed.server()).failed());
        } else if (event instanceof Event.GrantAnswered answered && answered.isAccepted()) {
            states.put(answered.server(), state(answered.server()).granted(answered.mapVersion()));
        }
    }

    private ServerState state(String server) {
        return states.getOrDefault(server, ServerState.unknown());
    }

    /** Returns the state of {@code server}; empty before its first probe ended. */
    public Optional<ServerState> find(String server) {
        return Optional.ofNullable(states.get(server));
    }

    /** Returns whether {@code server} answered a probe that was sent within the silence limit. */
    public boolean isReachable(String server, Moment now) {
        return find(server)
                .map(state -> state.silentMillis(now) < timing.silenceLimitMillis())
                .orElse(false);
    }
}
