package org.daisyscale.core.internal.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.Part;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * The configuration in force at this router. Its revision only rises: from the platform's service, from peers, and from
 * proposals that the service accepted. Owned by the thread that owns the core.
 */
public final class ConfigurationKeeper implements Part {
    private static final int PROMISE = 10;
    /** Reads before a lost proposal is answered: the watch's and another change's may be older than the lost write. */
    private static final int READS_OF_LOST = 3;

    private final Map<String, PendingProposal> proposalsByWriteId = new HashMap<>();
    private Configuration current;
    private Policies policies = Policies.none();
    private boolean hasAskedPlatform;

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.ConfigurationRead read) {
            hasAskedPlatform = true;
            adoptIfNewer(read.configuration(), out);
            settleUnknownProposals(read.configuration(), out);
            readAgainForLost(out);
        } else if (event instanceof Event.PlatformUnreachable unreachable) {
            refuseLost("the platform's service can't be reached: " + unreachable.reason(), out);
        } else if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received, out);
        } else if (event instanceof Event.ConfigurationProposed proposed) {
            propose(proposed, out);
        } else if (event instanceof Event.ConfigurationWriteEnded ended) {
            settleProposal(ended, out);
        }
    }

    private void handleMessage(Event.PeerMessageReceived received, Outbox out) {
        if (received.message() instanceof PeerMessage.ConfigurationUpdate update) {
            adoptIfNewer(update.configuration(), out);
        } else if (received.message() instanceof PeerMessage.ConfigurationRequest && current != null) {
            out.send(received.from(), new PeerMessage.ConfigurationUpdate(current));
        } else if (received.message() instanceof PeerMessage.Pong pong && pong.configurationRevision() > revision()) {
            out.send(received.from(), new PeerMessage.ConfigurationRequest());
        } else if (received.message() instanceof PeerMessage.Ping ping && ping.configurationRevision() > revision()) {
            out.send(received.from(), new PeerMessage.ConfigurationRequest());
        }
    }

    private void adoptIfNewer(Configuration candidate, Outbox out) {
        if (candidate == null || candidate.revision() <= revision()) {
            checkSame(candidate, out);
            return;
        }
        current = candidate;
        policies = Policies.of(candidate.document());
        out.emit(new Action.ConfigurationInForce(candidate));
    }

    /** One revision has one content: the platform's service accepts it once. */
    private void checkSame(Configuration candidate, Outbox out) {
        boolean isOther = candidate != null
                && candidate.revision() == revision()
                && !candidate.writeId().equals(current.writeId());
        if (isOther) {
            out.broken(
                    PROMISE,
                    "revision %d is both %s and %s".formatted(revision(), current.writeId(), candidate.writeId()));
        }
    }

    private void propose(Event.ConfigurationProposed proposed, Outbox out) {
        Configuration proposal = proposed.configuration();
        if (proposal.revision() != revision() + 1) {
            out.emit(
                    new Action.AnswerProposal(proposed.requestId(), revision(), false, "another revision is in force"));
            return;
        }
        proposalsByWriteId.put(proposal.writeId(), PendingProposal.of(proposed.requestId(), proposal));
        out.emit(new Action.WriteConfiguration(proposal));
    }

    private void settleProposal(Event.ConfigurationWriteEnded ended, Outbox out) {
        PendingProposal pending = proposalsByWriteId.get(ended.writeId());
        if (pending == null) {
            return;
        }
        if (ended.outcome() == WriteOutcome.UNKNOWN) {
            out.emit(new Action.ReadConfiguration());
            return;
        }
        if (ended.outcome() == WriteOutcome.ACCEPTED) {
            proposalsByWriteId.remove(ended.writeId());
            accept(pending, out);
        } else {
            proposalsByWriteId.put(ended.writeId(), pending.lost());
            out.emit(new Action.ReadConfiguration());
        }
    }

    /** The read showed no newer revision: it may have begun before the write that won, so another one has to tell. */
    private void readAgainForLost(Outbox out) {
        boolean isReadNeeded = false;
        for (PendingProposal pending : Map.copyOf(proposalsByWriteId).values()) {
            if (pending.isLost() && pending.readsLeft() > 1) {
                proposalsByWriteId.put(pending.configuration().writeId(), pending.afterRead());
                isReadNeeded = true;
            } else if (pending.isLost()) {
                proposalsByWriteId.remove(pending.configuration().writeId());
                refuse(pending, "the platform's service refused it and shows no newer revision", out);
            }
        }
        if (isReadNeeded) {
            out.emit(new Action.ReadConfiguration());
        }
    }

    /** A lost proposal is answered after a read, so that its operator is told of the revision that won. */
    private void refuseLost(String detail, Outbox out) {
        for (PendingProposal pending : Map.copyOf(proposalsByWriteId).values()) {
            if (pending.isLost()) {
                proposalsByWriteId.remove(pending.configuration().writeId());
                refuse(pending, detail, out);
            }
        }
    }

    private void settleUnknownProposals(Configuration read, Outbox out) {
        if (read == null) {
            return;
        }
        for (PendingProposal pending : Map.copyOf(proposalsByWriteId).values()) {
            if (pending.configuration().revision() <= read.revision()) {
                proposalsByWriteId.remove(pending.configuration().writeId());
                boolean isOurs = pending.configuration().writeId().equals(read.writeId());
                answerRead(pending, isOurs, out);
            }
        }
    }

    private void answerRead(PendingProposal pending, boolean isOurs, Outbox out) {
        if (isOurs) {
            accept(pending, out);
        } else {
            refuse(pending, "another operator was faster", out);
        }
    }

    private void accept(PendingProposal pending, Outbox out) {
        adoptIfNewer(pending.configuration(), out);
        out.emit(new Action.AnswerProposal(
                pending.requestId(), pending.configuration().revision(), true, ""));
    }

    private void refuse(PendingProposal pending, String detail, Outbox out) {
        out.emit(new Action.AnswerProposal(pending.requestId(), revision(), false, detail));
    }

    /** The revision in force; 0 before the first. */
    public long revision() {
        return current == null ? 0 : current.revision();
    }

    /** The configuration in force, if any. */
    public Optional<Configuration> current() {
        return Optional.ofNullable(current);
    }

    /** Whether the platform's service has answered since the start. */
    public boolean hasAskedPlatform() {
        return hasAskedPlatform;
    }

    /** The rules of the document in force. */
    public Policies policies() {
        return policies;
    }

    /** The data centres that operators have taken out. */
    public Set<String> dataCentresOut() {
        return current == null ? Set.of() : current.dataCentresOut();
    }

    /** The backend servers that operators drain. */
    public Set<String> serversDrained() {
        return current == null ? Set.of() : current.serversDrained();
    }

    /** A proposal whose write has no known end, or that lost and waits for {@code readsLeft} reads at most. */
    private record PendingProposal(String requestId, Configuration configuration, boolean isLost, int readsLeft) {

        static PendingProposal of(String requestId, Configuration configuration) {
            return new PendingProposal(requestId, configuration, false, READS_OF_LOST);
        }

        PendingProposal lost() {
            return new PendingProposal(requestId, configuration, true, readsLeft);
        }

        PendingProposal afterRead() {
            return new PendingProposal(requestId, configuration, isLost, readsLeft - 1);
        }
    }
}
