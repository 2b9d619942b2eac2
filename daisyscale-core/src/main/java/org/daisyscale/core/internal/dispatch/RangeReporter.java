package org.daisyscale.core.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.internal.ownership.ServerState;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Builds the reports on a dispatch range's servers and hot keys for the controller. Not thread-safe; confined to the
 * core thread.
 */
final class RangeReporter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MIN_SECONDS = 0.001;

    private final RangeKey key;
    private final DispatchContext context;
    private final ServerTrackers servers;
    private final LoadMeter load;
    private final ReportSchedule schedule = new ReportSchedule();
    private final Map<String, Long> reportedNanosByServer = new HashMap<>();
    private String lastController = "";

    RangeReporter(RangeKey key, DispatchContext context, ServerTrackers servers, LoadMeter load) {
        this.key = key;
        this.context = context;
        this.servers = servers;
        this.load = load;
    }

    /** Returns the report for {@code controller}; empty when no server and no hot keys are due. */
    Optional<PeerMessage.RangeReport> report(String controller, Moment now) {
        if (!controller.equals(lastController)) {
            lastController = controller;
            schedule.reset();
        }
        schedule.nextRound();
        List<PeerMessage.ServerView> views = new ArrayList<>();
        for (VmRecord server : context.duties().serversOf(key)) {
            context.servers()
                    .find(server.id())
                    .filter(state -> isDue(server.id(), state, now))
                    .ifPresent(state -> views.add(view(server.id(), state, now)));
        }
        List<PeerMessage.HotKey> hotKeys = schedule.areHotKeysDue() ? load.hotKeys() : List.of();
        return views.isEmpty() && hotKeys.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerMessage.RangeReport(key.service(), key.range(), views, hotKeys));
    }

    private boolean isDue(String server, ServerState state, Moment now) {
        boolean isReachable = context.servers().isReachable(server, now);
        List<SliceAssignment> slices = context.maps().settledSlicesOf(server);
        return state.status() == null || schedule.isDue(server, state, isReachable, slices);
    }

    private PeerMessage.ServerView view(String server, ServerState state, Moment now) {
        double answeredCount =
                servers.find(server).map(ServerTracker::takeAnsweredCount).orElse(0.0);
        List<Long> sliceStarts = context.maps().settledSlicesOf(server).stream()
                .map(SliceAssignment::startHash)
                .toList();
        return new PeerMessage.ServerView(
                server,
                context.servers().isReachable(server, now),
                state.silentMillis(now),
                state.status(),
                answeredCount / secondsSinceReport(server, now),
                load.sliceLoads(sliceStarts));
    }

    private double secondsSinceReport(String server, Moment now) {
        Long beforeNanos = reportedNanosByServer.put(server, now.nanos());
        double seconds = beforeNanos == null ? 1 : (now.nanos() - beforeNanos) / NANOS_PER_SECOND;
        return Math.max(seconds, MIN_SECONDS);
    }
}
