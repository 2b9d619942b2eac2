package org.daisyscale.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * What the controller knows about the credits of one process of a router. When the process ends, its credits stay
 * outstanding in the {@link OrganisationLedger} until they expire. Not thread-safe.
 */
final class RouterSession {
    private final long incarnation;
    private final long startedNanos;
    private final Map<String, Holding> holdingByOrganisation = new HashMap<>();
    private long reportSequence;
    /** The first report after the latest gap; what was spent before it is not known. */
    private long sequenceAfterGap;

    private long grantSequence;

    RouterSession(long incarnation, long startedNanos) {
        this.incarnation = incarnation;
        this.startedNanos = startedNanos;
    }

    long incarnation() {
        return incarnation;
    }

    /** Returns the start of the process, by this router's monotonic clock. */
    long startedNanos() {
        return startedNanos;
    }

    /** Returns whether {@code sequence} is newer than all reports so far. */
    boolean isNewer(long sequence) {
        return sequence > reportSequence;
    }

    /** Records the report {@code sequence}, and whether reports before it were lost. */
    void advanceTo(long sequence) {
        if (sequence != reportSequence + 1) {
            sequenceAfterGap = sequence;
        }
        reportSequence = sequence;
    }

    /**
     * Updates what the router holds by the latest report, and returns how many credits it spent since the report that
     * said so last. After a lost report these are all credits that are gone.
     */
    long update(QuotaReport.Usage usage, long confirmedSequence, OrganisationLedger ledger, long nowNanos) {
        Holding holding = holding(usage.organisation());
        boolean isUnknown = holding.updatedSequence < sequenceAfterGap;
        long goneCount = holding.update(confirmedSequence, usage.heldCount(), ledger, nowNanos);
        holding.updatedSequence = reportSequence;
        return isUnknown ? Math.max(0, goneCount) : usage.ranCount();
    }

    long nextGrantSequence() {
        return ++grantSequence;
    }

    Holding holding(String organisation) {
        return holdingByOrganisation.computeIfAbsent(organisation, name -> new Holding(reportSequence));
    }

    /** Forgets the organisations without credits at the router. */
    void removeEmpty(long nowNanos) {
        holdingByOrganisation.values().removeIf(holding -> holding.isEmpty(nowNanos));
    }

    /** The credits of one organisation at the router. Not thread-safe. */
    static final class Holding {
        private final TimedCounts received = new TimedCounts(OrganisationLedger.GRANULARITY_NANOS);
        private final Deque<Block> unconfirmed = new ArrayDeque<>();
        private long updatedSequence;

        private Holding(long updatedSequence) {
            this.updatedSequence = updatedSequence;
        }

        /** Adds credits that the router reported or was granted with the grant {@code sequence}. */
        void add(long sequence, long count, long expiryNanos, OrganisationLedger ledger) {
            if (count > 0) {
                unconfirmed.addLast(new Block(sequence, count, expiryNanos));
                ledger.outstanding().add(expiryNanos, count);
            }
        }

        /**
         * Replaces the credits of grants up to {@code confirmedSequence} by the {@code heldCount} that are left.
         *
         * @return how many fewer there are now
         */
        private long update(long confirmedSequence, long heldCount, OrganisationLedger ledger, long nowNanos) {
            while (!unconfirmed.isEmpty() && unconfirmed.peekFirst().sequence() <= confirmedSequence) {
                Block block = unconfirmed.removeFirst();
                received.add(block.expiryNanos(), block.count());
            }
            received.removeThrough(nowNanos);
            long goneCount = received.total() - heldCount;
            if (goneCount >= 0) {
                received.removeEarliest(goneCount, ledger.outstanding());
            } else {
                long expiryNanos = nowNanos + QuotaTiming.LIFETIME_AT_CONTROLLER_NANOS;
                received.add(expiryNanos, -goneCount);
                ledger.outstanding().add(expiryNanos, -goneCount);
            }
            return goneCount;
        }

        boolean isEmpty(long nowNanos) {
            received.removeThrough(nowNanos);
            unconfirmed.removeIf(block -> block.expiryNanos() <= nowNanos);
            return received.total() == 0 && unconfirmed.isEmpty();
        }
    }

    /** Credits of one grant that the router has not confirmed yet. Immutable. */
    private record Block(long sequence, long count, long expiryNanos) {}
}
