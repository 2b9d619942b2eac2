package org.daisyscale.core.proof;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * The platform's key-value service with compare-and-swap writes, one lease and injected failures of calls. Not
 * thread-safe; confined to the thread of the run.
 */
final class FakePlatform {
    private static final double CALL_TIMEOUT_MILLIS = 300;

    private final VirtualScheduler scheduler;
    private final SplittableRandom random;
    private final Observer observer;
    private final Listener listener;
    private OwnershipMap map = OwnershipMap.empty();
    private Configuration configuration;
    private String leaseHolder = "";
    private long leaseEndsNanos;
    private long term;
    private int outageCount;
    private int slowdownCount;
    private int answerLossCount;
    private int writeDelayCount;

    FakePlatform(VirtualScheduler scheduler, SplittableRandom random, Observer observer, Listener listener) {
        this.scheduler = scheduler;
        this.random = random;
        this.observer = observer;
        this.listener = listener;
    }

    void adjustOutages(int delta) {
        outageCount += delta;
    }

    void adjustSlowdowns(int delta) {
        slowdownCount += delta;
    }

    void adjustAnswerLosses(int delta) {
        answerLossCount += delta;
    }

    void adjustWriteDelays(int delta) {
        writeDelayCount += delta;
    }

    boolean isUnavailable() {
        return outageCount > 0;
    }

    OwnershipMap map() {
        return map;
    }

    Configuration configuration() {
        return configuration;
    }

    void initialize(Configuration initial) {
        configuration = initial;
    }

    /**
     * Applies {@code effect} after a random delay and passes its result to {@code onAnswer}. Runs {@code onTimeout}
     * instead if no answer arrives in time; the effect may have been applied all the same.
     */
    <T> void call(boolean isCut, Supplier<T> effect, Consumer<T> onAnswer, Runnable onTimeout) {
        if (isCut || isUnavailable()) {
            scheduler.scheduleAfterMillis(CALL_TIMEOUT_MILLIS, onTimeout);
            return;
        }
        double requestDelayMillis = delayMillis();
        double answerDelayMillis = delayMillis();
        scheduler.scheduleAfterMillis(requestDelayMillis, () -> {
            T result = effect.get();
            boolean isLate = requestDelayMillis + answerDelayMillis > CALL_TIMEOUT_MILLIS || isUnavailable();
            boolean isLost = isLate || (answerLossCount > 0 && random.nextBoolean());
            double waitMillis = isLost ? Math.max(0, CALL_TIMEOUT_MILLIS - requestDelayMillis) : answerDelayMillis;
            scheduler.scheduleAfterMillis(waitMillis, isLost ? onTimeout : () -> onAnswer.accept(result));
        });
    }

    /**
     * Applies a write and passes its outcome to {@code onAnswer}. A write whose outcome is unknown may take effect
     * seconds later.
     */
    void write(boolean isCut, Supplier<WriteOutcome> effect, Consumer<WriteOutcome> onAnswer) {
        Runnable onTimeout = () -> onAnswer.accept(WriteOutcome.UNKNOWN);
        if (writeDelayCount > 0 && !isCut && random.nextInt(3) > 0) {
            scheduler.scheduleAfterMillis(CALL_TIMEOUT_MILLIS, onTimeout);
            scheduler.scheduleAfterMillis(300 + random.nextInt(5_000), () -> observer.recordLateWrite(effect.get()));
            return;
        }
        call(isCut, effect, onAnswer, onTimeout);
    }

    private double delayMillis() {
        return slowdownCount > 0 ? random.nextInt(400) : 0.5 + random.nextDouble() * 3;
    }

    WriteOutcome compareAndSwapMap(OwnershipMap next) {
        if (next.version() != map.version() + 1) {
            return WriteOutcome.REFUSED;
        }
        map = next;
        observer.checkMapWrite(next);
        listener.mapWritten(next);
        return WriteOutcome.ACCEPTED;
    }

    WriteOutcome compareAndSwapConfiguration(Configuration next) {
        if (next.revision() != configuration.revision() + 1) {
            return WriteOutcome.REFUSED;
        }
        configuration = next;
        listener.configurationAccepted(next);
        return WriteOutcome.ACCEPTED;
    }

    /**
     * Renews the lease if {@code router} holds it, or acquires it if it has expired, and returns the resulting lease.
     */
    LeaseState acquireOrRenewLease(String router, long durationMillis) {
        boolean isExpired = scheduler.nowNanos() >= leaseEndsNanos;
        if (leaseHolder.equals(router) && !isExpired) {
            leaseEndsNanos = scheduler.nowNanos() + durationMillis * VirtualScheduler.NANOS_PER_MILLI;
        } else if (isExpired) {
            leaseHolder = router;
            term++;
            leaseEndsNanos = scheduler.nowNanos() + durationMillis * VirtualScheduler.NANOS_PER_MILLI;
        }
        return new LeaseState(leaseHolder, term);
    }

    void releaseLease(String router) {
        if (leaseHolder.equals(router)) {
            leaseEndsNanos = scheduler.nowNanos();
        }
    }

    String leaseHolder() {
        return scheduler.nowNanos() < leaseEndsNanos ? leaseHolder : "";
    }

    /**
     * A state of the control lease. Immutable.
     *
     * @param holder the id of the router that holds the lease
     * @param term the term, which grows each time the lease is acquired
     */
    record LeaseState(String holder, long term) {}

    /** Is notified of accepted writes. */
    interface Listener {
        void mapWritten(OwnershipMap map);

        void configurationAccepted(Configuration configuration);
    }
}
