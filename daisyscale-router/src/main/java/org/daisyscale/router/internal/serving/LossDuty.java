package org.daisyscale.router.internal.serving;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.WriteResult;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.StoreException;

/**
 * Writes to the store which requests were lost with servers, so that it outlasts this process. The store removes an
 * item at most {@link #TIME_TO_LIVE} after its last change.
 *
 * <p>Invariants: a write that failed is repeated, with the newest losses of its request, until the store has it. At
 * most {@value #MAX_WAITING} requests wait for the store; further ones are dropped, since the routers tell each other.
 *
 * <p>Not thread-safe; confined to one thread, except {@link #recordRevision} and {@link #recordRemoved}.
 */
final class LossDuty {
    /** The longest time to live of a lease that the store grants. Source: the platform's store. */
    static final Duration TIME_TO_LIVE = Duration.ofMinutes(10);

    private static final long NEW_LEASE_AFTER_NANOS = TIME_TO_LIVE.toNanos() / 2;
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);
    /** Delay after the second failure in a row, in milliseconds. The first may be another router's write in between. */
    private static final long RETRY_DELAY_MILLIS = 500;
    /** Limit of the doublings of the delay: refused calls cost as much as others. */
    private static final int MAX_DOUBLINGS = 3;

    private static final int MAX_WAITING = 64;
    private static final long NO_LEASE = 0;

    private final CoordinationStore store;
    private final Ring<LossRecord> losses;
    private final LongSupplier clockNanos;
    private final LongSupplier clockEpochMillis;
    private final Map<Long, StoredLosses> waiting = new LinkedHashMap<>();
    private final Map<String, Long> revisionByKey = new ConcurrentHashMap<>();
    private int failureCount;
    private long lease = NO_LEASE;
    private long leaseEra;
    private long leaseNanos;

    LossDuty(CoordinationStore store, Ring<LossRecord> losses, LongSupplier clockNanos, LongSupplier clockEpochMillis) {
        this.store = store;
        this.losses = losses;
        this.clockNanos = clockNanos;
        this.clockEpochMillis = clockEpochMillis;
    }

    /** Records the revision at which {@code item} was seen in the store. Thread-safe. */
    void recordRevision(Item item) {
        revisionByKey.merge(item.key(), item.revision(), Math::max);
    }

    /** Records that the store has no item at {@code key} any more. Thread-safe. */
    void recordRemoved(String key) {
        revisionByKey.remove(key);
    }

    /** Waits for losses and writes those of one request. After repeated failures the next write waits. */
    void runStep() throws InterruptedException {
        Duration wait = waiting.isEmpty() ? MAX_WAIT : Duration.ZERO;
        losses.poll(wait).ifPresent(this::add);
        if (waiting.isEmpty()) {
            return;
        }
        failureCount = tryWrite(waiting.values().iterator().next()) ? 0 : failureCount + 1;
        if (failureCount > 1) {
            long delayMillis = RETRY_DELAY_MILLIS << Math.min(failureCount - 2, MAX_DOUBLINGS);
            Thread.sleep(delayMillis);
        }
    }

    private boolean tryWrite(StoredLosses next) {
        try {
            return write(next);
        } catch (StoreException e) {
            EventLog.info("losses-not-stored", "waiting=" + waiting.size() + " reason=" + e.detail());
            return false;
        }
    }

    private void add(LossRecord added) {
        if (waiting.size() < MAX_WAITING || waiting.containsKey(added.fingerprint())) {
            waiting.put(added.fingerprint(), StoredLosses.of(added, clockEpochMillis.getAsLong()));
        } else {
            EventLog.warn("losses-dropped", "waiting=" + waiting.size());
        }
    }

    /** Returns whether the store has the losses now. */
    private boolean write(StoredLosses next) {
        String key = StoreKeys.losses(next.fingerprint());
        long expectedRevision = revisionByKey.getOrDefault(key, 0L);
        WriteResult result = store.write(new Change(key, expectedRevision, next.write(), lease()));
        EventLog.info(
                "losses-stored",
                "key=%s servers=%d tries=%d outcome=%s"
                        .formatted(key, next.servers().size(), next.tries(), result.outcome()));
        if (result.outcome() == WriteOutcome.ACCEPTED) {
            revisionByKey.merge(key, result.revision(), Math::max);
            waiting.remove(next.fingerprint());
            return true;
        }
        readAgain(key, next, expectedRevision);
        return false;
    }

    /** Reads what another router may have written; if the store has what was expected, the lease has ended. */
    private void readAgain(String key, StoredLosses next, long expectedRevision) {
        Optional<Item> found = store.get(key);
        if (found.map(Item::revision).orElse(0L) == expectedRevision) {
            lease = NO_LEASE;
        }
        if (found.isPresent()) {
            revisionByKey.put(key, found.get().revision());
            waiting.put(next.fingerprint(), read(found.get()).map(next::merge).orElse(next));
        } else {
            revisionByKey.remove(key);
        }
    }

    private static Optional<StoredLosses> read(Item item) {
        try {
            return Optional.of(StoredLosses.read(item.value()));
        } catch (UncheckedIOException e) {
            EventLog.warn("losses-unreadable", "key=" + item.key() + ": the item is replaced");
            return Optional.empty();
        }
    }

    private long lease() {
        long nowNanos = clockNanos.getAsLong();
        boolean isUsable =
                lease != NO_LEASE && leaseEra == store.era() && nowNanos - leaseNanos < NEW_LEASE_AFTER_NANOS;
        if (!isUsable) {
            lease = store.grantLease(TIME_TO_LIVE);
            leaseEra = store.era();
            leaseNanos = nowNanos;
        }
        return lease;
    }
}
