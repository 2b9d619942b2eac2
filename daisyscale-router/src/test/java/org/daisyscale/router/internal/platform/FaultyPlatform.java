package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.daisyscale.core.platform.Lease;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.core.platform.WriteOutcome;

/** Wraps an embedded platform's service and injects the faults that a test selects. Thread-safe. */
final class FaultyPlatform implements PlatformService {
    private final EmbeddedPlatformService inner = new EmbeddedPlatformService();
    private final AtomicInteger writeCount = new AtomicInteger();
    private volatile boolean isWriteAnswerLost;
    private volatile boolean isWriteLost;
    private volatile boolean isUnavailable;
    private volatile CountDownLatch writeGate = new CountDownLatch(0);
    private volatile Runnable onLost = () -> {};

    EmbeddedPlatformService inner() {
        return inner;
    }

    int writeCount() {
        return writeCount.get();
    }

    void loseWriteAnswers() {
        isWriteAnswerLost = true;
    }

    void loseWrites() {
        isWriteLost = true;
    }

    void setUnavailable(boolean isUnavailableNow) {
        isUnavailable = isUnavailableNow;
    }

    /** Blocks writes until the returned latch is counted down. */
    CountDownLatch holdWrites() {
        CountDownLatch gate = new CountDownLatch(1);
        writeGate = gate;
        return gate;
    }

    void loseWatch() {
        onLost.run();
    }

    @Override
    public Optional<VersionedValue> get(String key) {
        failWhenUnavailable();
        return inner.get(key);
    }

    @Override
    public WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] bytes) {
        writeCount.incrementAndGet();
        try {
            writeGate.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (isWriteLost) {
            return WriteOutcome.UNKNOWN;
        }
        WriteOutcome outcome = inner.compareAndSwap(key, expectedVersion, bytes);
        return isWriteAnswerLost ? WriteOutcome.UNKNOWN : outcome;
    }

    @Override
    public Optional<Lease> acquireLease(String key, String holder, Duration timeToLive) {
        failWhenUnavailable();
        return inner.acquireLease(key, holder, timeToLive);
    }

    @Override
    public boolean renewLease(Lease lease) {
        failWhenUnavailable();
        return inner.renewLease(lease);
    }

    @Override
    public void releaseLease(Lease lease) {
        inner.releaseLease(lease);
    }

    @Override
    public Optional<String> leaseHolder(String key) {
        return inner.leaseHolder(key);
    }

    @Override
    public AutoCloseable watch(List<String> keys, Consumer<VersionedValue> onChange, Runnable lost) {
        failWhenUnavailable();
        onLost = lost;
        return inner.watch(keys, onChange, lost);
    }

    private void failWhenUnavailable() {
        if (isUnavailable) {
            throw new PlatformException(PlatformErrorCode.UNREACHABLE, "the service is unavailable", null);
        }
    }

    @Override
    public void close() {
        inner.close();
    }
}
