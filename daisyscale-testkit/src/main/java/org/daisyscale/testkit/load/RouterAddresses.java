package org.daisyscale.testkit.load;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Takes addresses in turn, as the platform's balancer does, and leaves out for a second those that refused a
 * connection. Safe for use by several threads.
 */
public final class RouterAddresses {
    private static final long PENALTY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final List<String> addresses;
    private final AtomicLong turn = new AtomicLong();
    private final ConcurrentHashMap<String, Long> refusedNanos = new ConcurrentHashMap<>();

    /** Begins with all of {@code addresses}, such as {@code http://127.0.0.1:8080}, taken for live. */
    public RouterAddresses(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    /** The next address; any when all refused. */
    public String next(long nowNanos) {
        for (int tried = 0; tried < addresses.size(); tried++) {
            String address = addresses.get((int) (turn.getAndIncrement() % addresses.size()));
            Long refused = refusedNanos.get(address);
            if (refused == null || nowNanos - refused > PENALTY_NANOS) {
                return address;
            }
        }
        return addresses.get((int) (turn.getAndIncrement() % addresses.size()));
    }

    /** Notes that {@code address} refused a connection. */
    public void refused(String address, long nowNanos) {
        refusedNanos.put(address, nowNanos);
    }
}
