package org.daisyscale.core.internal.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.daisyscale.core.Moment;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.configuration.IdTimestamp;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.LedgerEntry;
import org.daisyscale.core.peer.PeerMessage.LedgerState;

/**
 * Records the idempotency keys (ids) of non-idempotent requests in one dispatch range. Invariant: the ledger knows
 * every id created after {@link #knownSinceMillis()} for which the range ever issued a permit. Whether an older id that
 * the ledger doesn't contain has run is unknown. Not thread-safe; confined to the core thread.
 */
final class IdLedger {
    private static final int MAX_ENTRIES = 200_000;
    private static final int MAX_HANDED_OVER_ENTRIES = 50_000;

    private final Map<String, TrackedId> entries = new LinkedHashMap<>();
    private long knownSinceMillis;

    /** Creates an empty ledger that treats ids from {@code knownSinceMillis} (epoch millis) and before as unknown. */
    IdLedger(long knownSinceMillis) {
        this.knownSinceMillis = knownSinceMillis;
    }

    long knownSinceMillis() {
        return knownSinceMillis;
    }

    /** Returns why {@code id} must not get a permit, or empty when it may. The same entry request may retry. */
    Optional<CoreErrorCode> rejection(String id, String entryRequest) {
        TrackedId tracked = entries.get(id);
        if (tracked == null) {
            return isTooOld(id) ? Optional.of(CoreErrorCode.OUTCOME_UNKNOWN) : Optional.empty();
        }
        return switch (tracked.entry().state()) {
            case RAN -> Optional.of(CoreErrorCode.ALREADY_RAN);
            case UNKNOWN -> Optional.of(CoreErrorCode.OUTCOME_UNKNOWN);
            case RUNNING ->
                tracked.entryRequest().equals(entryRequest)
                        ? Optional.empty()
                        : Optional.of(CoreErrorCode.DUPLICATE_IN_PROGRESS);
        };
    }

    private boolean isTooOld(String id) {
        OptionalLong madeMillis = IdTimestamp.ofId(id);
        return madeMillis.isEmpty() || madeMillis.getAsLong() <= knownSinceMillis;
    }

    /** Records an attempt of {@code entryRequest} to run {@code id}; earlier attempts are counted too. */
    void begin(String id, String entryRequest, Moment now) {
        TrackedId tracked = entries.get(id);
        int attemptCount = tracked == null ? 0 : tracked.attemptCount();
        put(id, LedgerState.RUNNING, entryRequest, attemptCount + 1, now);
    }

    /** Records that an attempt at {@code id} ran or has an unknown outcome. The state RAN is final. */
    void end(String id, LedgerState state, Moment now) {
        TrackedId tracked = entries.get(id);
        boolean hasRun = tracked != null && tracked.entry().state() == LedgerState.RAN;
        put(id, hasRun ? LedgerState.RAN : state, "", 0, now);
    }

    /** Records that one attempt at {@code id} did not run. The id is released when no attempt that may run is left. */
    void recordNotRun(String id) {
        entries.computeIfPresent(id, (key, tracked) -> tracked.withoutOneAttempt());
    }

    private void put(String id, LedgerState state, String entryRequest, int attemptCount, Moment now) {
        LedgerEntry entry = new LedgerEntry(id, state, now.epochMillis());
        entries.put(id, new TrackedId(entry, entryRequest, attemptCount));
        if (entries.size() > MAX_ENTRIES) {
            evictOldest();
        }
    }

    private void evictOldest() {
        String oldest = entries.keySet().iterator().next();
        entries.remove(oldest);
        knownSinceMillis = Math.max(knownSinceMillis, IdTimestamp.ofId(oldest).orElse(knownSinceMillis));
    }

    /** Merges the ledger of the previous dispatcher, which issued no permit after this one issued its first. */
    void merge(PeerMessage.LedgerHandover handover, Moment now) {
        handover.entries().stream()
                .filter(entry -> !entries.containsKey(entry.idempotencyKey()))
                .forEach(entry -> put(entry.idempotencyKey(), entry.state(), "", 0, now));
        knownSinceMillis = Math.min(knownSinceMillis, handover.knownSinceMillis());
    }

    /**
     * Returns the handover for the next dispatcher: the newest entries up to a limit. An id that still runs is handed
     * over as UNKNOWN, and {@code knownSinceMillis} is raised to the time of the newest entry left out.
     */
    PeerMessage.LedgerHandover handover(RangeKey key, long nextEpoch) {
        List<LedgerEntry> all = entries();
        List<LedgerEntry> newest = all.subList(Math.max(0, all.size() - MAX_HANDED_OVER_ENTRIES), all.size());
        long newestLeftOutMillis = all.subList(0, all.size() - newest.size()).stream()
                .mapToLong(entry -> IdTimestamp.ofId(entry.idempotencyKey()).orElse(0))
                .max()
                .orElse(knownSinceMillis);
        List<LedgerEntry> known =
                newest.stream().map(IdLedger::runningAsUnknown).toList();
        return new PeerMessage.LedgerHandover(
                key.service(), key.range(), nextEpoch, Math.max(knownSinceMillis, newestLeftOutMillis), known);
    }

    private static LedgerEntry runningAsUnknown(LedgerEntry entry) {
        return entry.state() == LedgerState.RUNNING
                ? new LedgerEntry(entry.idempotencyKey(), LedgerState.UNKNOWN, entry.atEpochMillis())
                : entry;
    }

    /** Returns all entries, oldest first. */
    private List<LedgerEntry> entries() {
        List<LedgerEntry> all = new ArrayList<>();
        entries.values().forEach(tracked -> all.add(tracked.entry()));
        return all;
    }

    /** An entry with the entry request that runs it and the number of attempts that may still run. */
    private record TrackedId(LedgerEntry entry, String entryRequest, int attemptCount) {

        /** Returns the entry with one attempt less; null when no attempt that may run is left. */
        private TrackedId withoutOneAttempt() {
            if (entry.state() != LedgerState.RUNNING) {
                return this;
            }
            return attemptCount <= 1 ? null : new TrackedId(entry, entryRequest, attemptCount - 1);
        }
    }
}
