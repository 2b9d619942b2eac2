package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.daisyscale.core.platform.Lease;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.core.platform.WriteOutcome;

/**
 * Implements the platform's service in the memory of a single process; the data is lost when the process ends. Versions
 * and terms only rise. Thread-safe; watch callbacks run on the writing thread.
 *
 * <pre>{@code
 * try (PlatformService platform = new EmbeddedPlatformService()) {
 *     platform.compareAndSwap("key", 0, bytes);
 * }
 * }</pre>
 */
public final class EmbeddedPlatformService implements PlatformService {
    private final LongSupplier nanoClock;
    private final Map<String, VersionedValue> valueByKey = new HashMap<>();
    private final Map<String, HeldLease> leaseByKey = new HashMap<>();
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private long revision;

    /** Creates an empty service whose leases expire by {@link System#nanoTime}. */
    public EmbeddedPlatformService() {
        this(System::nanoTime);
    }

    EmbeddedPlatformService(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    @Override
    public synchronized Optional<VersionedValue> get(String key) {
        return Optional.ofNullable(valueByKey.get(key));
    }

    @Override
    public WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] bytes) {
        Optional<VersionedValue> written = write(key, expectedVersion, bytes);
        written.ifPresent(value -> watches.forEach(watch -> watch.deliver(value)));
        return written.isPresent() ? WriteOutcome.ACCEPTED : WriteOutcome.REFUSED;
    }

    private synchronized Optional<VersionedValue> write(String key, long expectedVersion, byte[] bytes) {
        long version = get(key).map(VersionedValue::version).orElse(0L);
        if (version != expectedVersion) {
            return Optional.empty();
        }
        revision++;
        VersionedValue value = new VersionedValue(key, bytes.clone(), revision);
        valueByKey.put(key, value);
        return Optional.of(value);
    }

    @Override
    public synchronized Optional<Lease> acquireLease(String key, String holder, Duration timeToLive) {
        Optional<HeldLease> held = unexpired(key);
        if (held.isPresent()) {
            return held.map(HeldLease::lease).filter(lease -> lease.holder().equals(holder));
        }
        revision++;
        Lease lease = new Lease(key, holder, revision, revision);
        leaseByKey.put(key, new HeldLease(lease, timeToLive, nanoClock.getAsLong() + timeToLive.toNanos()));
        return Optional.of(lease);
    }

    @Override
    public synchronized boolean renewLease(Lease lease) {
        Optional<HeldLease> held =
                unexpired(lease.key()).filter(current -> current.lease().equals(lease));
        held.ifPresent(current -> leaseByKey.put(lease.key(), current.renewedAt(nanoClock.getAsLong())));
        return held.isPresent();
    }

    @Override
    public synchronized void releaseLease(Lease lease) {
        unexpired(lease.key())
                .filter(held -> held.lease().equals(lease))
                .ifPresent(held -> leaseByKey.remove(lease.key()));
    }

    @Override
    public synchronized Optional<String> leaseHolder(String key) {
        return unexpired(key).map(held -> held.lease().holder());
    }

    @Override
    public AutoCloseable watch(List<String> keys, Consumer<VersionedValue> onChange, Runnable onLost) {
        Watch watch = new Watch(List.copyOf(keys), onChange);
        watches.add(watch);
        return () -> watches.remove(watch);
    }

    private Optional<HeldLease> unexpired(String key) {
        return Optional.ofNullable(leaseByKey.get(key)).filter(held -> held.endNanos() - nanoClock.getAsLong() > 0);
    }

    @Override
    public void close() {
        watches.clear();
    }

    private record HeldLease(Lease lease, Duration timeToLive, long endNanos) {

        HeldLease renewedAt(long nowNanos) {
            return new HeldLease(lease, timeToLive, nowNanos + timeToLive.toNanos());
        }
    }

    private record Watch(List<String> keys, Consumer<VersionedValue> onChange) {

        void deliver(VersionedValue value) {
            if (keys.contains(value.key())) {
                onChange.accept(value);
            }
        }
    }
}
