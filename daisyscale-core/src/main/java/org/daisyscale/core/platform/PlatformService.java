package org.daisyscale.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The platform's key-value service. The core itself never calls it: a duty thread of the shell calls the service and
 * passes the answers to the core as events.
 *
 * <p>Implementations are thread-safe. Each call blocks until it is answered or times out. If the service can't be
 * reached, a write returns {@link WriteOutcome#UNKNOWN} and any other call throws
 * {@link org.daisyscale.core.error.DaisyscaleException}.
 *
 * <pre>{@code
 * VersionedValue before = platform.get("daisyscale/trial/map").orElseThrow();
 * WriteOutcome outcome = platform.compareAndSwap(before.key(), before.version(), bytes);
 * }</pre>
 */
public interface PlatformService extends AutoCloseable {

    /** Returns the value at {@code key}, or empty if there is none. The read is linearizable. */
    Optional<VersionedValue> get(String key);

    /** Writes {@code bytes} if the value still has {@code expectedVersion}; 0 means that no value may exist. */
    WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] bytes);

    /**
     * Acquires the lease {@code key} for {@code holder} if nobody holds it.
     *
     * @return the lease, or empty if another holder has it
     */
    Optional<Lease> acquireLease(String key, String holder, Duration timeToLive);

    /** Renews {@code lease}; returns false if it has expired. */
    boolean renewLease(Lease lease);

    /** Releases {@code lease}. */
    void releaseLease(Lease lease);

    /** Returns the holder of the lease {@code key}, or empty if nobody holds it. */
    Optional<String> leaseHolder(String key);

    /**
     * Watches {@code keys} until the returned handle is closed. A pending watch counts as one call per key.
     *
     * @param onChange receives each new value, on a thread of the implementation
     * @param onLost called once if the watch ends without having been closed
     */
    AutoCloseable watch(List<String> keys, Consumer<VersionedValue> onChange, Runnable onLost);

    @Override
    void close();
}
