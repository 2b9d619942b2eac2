package org.daisyscale.core.internal.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * Tracks the configuration in force at this router and settles operators' proposals. Newer revisions come from the
 * platform's service, from peers and from accepted proposals; the revision never decreases. Not thread-safe; confined
 * to the core thread.
 */
public final class ConfigurationTracker implements CoreComponent {
    private static final int PROMISE = 10;
    /**
     * The maximum number of reads before a proposal with a rejected write is answered. Reads for the watch or for
     * another change may have started before the rejected write and show an older revision.
     */
    private static final int MAX_READS_AFTER_REJECTION = 3;

    private final Map<String, PendingProposal> proposalsByWriteId = new HashMap<>();
    private Configuration current;
    private Policies policies = Policies.none();
    private boolean hasReadPlatform;

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.ConfigurationRead read) {
            hasReadPlatform = true;
            adoptIfNewer(read.configuration(), out);
            settleProposalsByRead(read.configuration(), out);
            rereadForRejectedWrites(out);
        } else if (event instanceof Event.PlatformUnreachable unreachable) {
            rejectUnsettled("the platform's service can't be reached: " + unreachable.reason(), out);
        } else if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received, out);
        } else if (event instanceof Event.ConfigurationProposed proposed) {
            propose(proposed, out);
        } else if (event instanceof Event.ConfigurationWriteEnded ended) {
            settleProposalByWrite(ended, out);
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
            checkSameContent(candidate, out);
            return;
        }
        current = candidate;
        policies = Policies.of(candidate.document());
        out.emit(new Action.ConfigurationInForce(candidate));
    }

    /** Checks that a revision has only one content: the platform's service accepts each revision once. */
    private void checkSameContent(Configuration candidate, Outbox out) {
        boolean isConflicting = candidate != null
                && candidate.revision() == revision()
                && !candidate.writeId().equals(current.writeId());
        if (isConflicting) {
            out.reportInvariantBroken(
                    PROMISE,
                    "configuration revision %d was written by both %s and %s"
                            .formatted(revision(), current.writeId(), candidate.writeId()));
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

    private void settleProposalByWrite(Event.ConfigurationWriteEnded ended, Outbox out) {
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
            proposalsByWriteId.put(ended.writeId(), pending.withRejectedWrite());
            out.emit(new Action.ReadConfiguration());
        }
    }

    /**
     * Requests another read for each proposal with a rejected write that the last read did not settle: that read may
     * have started before the winning write. Rejects the proposal after the last permitted read.
     */
    private void rereadForRejectedWrites(Outbox out) {
        boolean isReadNeeded = false;
        for (PendingProposal pending : Map.copyOf(proposalsByWriteId).values()) {
            if (pending.isWriteRejected() && pending.readsLeft() > 1) {
                proposalsByWriteId.put(pending.configuration().writeId(), pending.afterRead());
                isReadNeeded = true;
            } else if (pending.isWriteRejected()) {
                proposalsByWriteId.remove(pending.configuration().writeId());
                reject(pending, "the platform's service rejected the write, but shows no newer revision", out);
            }
        }
        if (isReadNeeded) {
            out.emit(new Action.ReadConfiguration());
        }
    }

    /**
     * Rejects all proposals with a rejected write because no read is possible. Otherwise they are answered after a
     * read, so that the answer carries the winning revision.
     */
    private void rejectUnsettled(String detail, Outbox out) {
        for (PendingProposal pending : Map.copyOf(proposalsByWriteId).values()) {
            if (pending.isWriteRejected()) {
                proposalsByWriteId.remove(pending.configuration().writeId());
                reject(pending, detail, out);
            }
        }
    }

    private void settleProposalsByRead(Configuration read, Outbox out) {
        if (read == null) {
            return;
        }
        for (PendingProposal pending : Map.copyOf(proposalsByWriteId).values()) {
            if (pending.configuration().revision() <= read.revision()) {
                proposalsByWriteId.remove(pending.configuration().writeId());
                boolean isOurs = pending.configuration().writeId().equals(read.writeId());
                answerByRead(pending, isOurs, out);
            }
        }
    }

    private void answerByRead(PendingProposal pending, boolean isOurs, Outbox out) {
        if (isOurs) {
            accept(pending, out);
        } else {
            reject(pending, "another operator's change was accepted first", out);
        }
    }

    private void accept(PendingProposal pending, Outbox out) {
        adoptIfNewer(pending.configuration(), out);
        out.emit(new Action.AnswerProposal(
                pending.requestId(), pending.configuration().revision(), true, ""));
    }

    private void reject(PendingProposal pending, String detail, Outbox out) {
        out.emit(new Action.AnswerProposal(pending.requestId(), revision(), false, detail));
    }

    /** Returns the revision in force; 0 before the first. */
    public long revision() {
        return current == null ? 0 : current.revision();
    }

    /** Returns the configuration in force, if any. */
    public Optional<Configuration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns whether the configuration has been read from the platform's service since the start. */
    public boolean hasReadPlatform() {
        return hasReadPlatform;
    }

    /** Returns the policies of the document in force. */
    public Policies policies() {
        return policies;
    }

    /** Returns the data centres that operators have taken out of service. */
    public Set<String> dataCentresOut() {
        return current == null ? Set.of() : current.dataCentresOut();
    }

    /** Returns the backend servers that operators drain. */
    public Set<String> serversDrained() {
        return current == null ? Set.of() : current.serversDrained();
    }

    /**
     * A proposal whose write is pending or has an unknown outcome, or whose write was rejected and that is answered
     * after at most {@code readsLeft} reads.
     */
    private record PendingProposal(
            String requestId, Configuration configuration, boolean isWriteRejected, int readsLeft) {

        static PendingProposal of(String requestId, Configuration configuration) {
            return new PendingProposal(requestId, configuration, false, MAX_READS_AFTER_REJECTION);
        }

        PendingProposal withRejectedWrite() {
            return new PendingProposal(requestId, configuration, true, readsLeft);
        }

        PendingProposal afterRead() {
            return new PendingProposal(requestId, configuration, isWriteRejected, readsLeft - 1);
        }
    }
}
