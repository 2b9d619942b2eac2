package org.daisyscale.router.internal.assembly;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Signals that a router stop was requested, that it is complete, and the fault that caused it, if any. Keeps the first
 * fault. Thread-safe.
 */
public final class StopSignal {
    private final CountDownLatch requested = new CountDownLatch(1);
    private final CountDownLatch done = new CountDownLatch(1);
    private final AtomicReference<String> fault = new AtomicReference<>();

    /** Requests a planned stop. */
    public void requestStop() {
        requested.countDown();
    }

    /** Marks the stop as complete. */
    public void done() {
        requested.countDown();
        done.countDown();
    }

    /** Stops the router immediately because of a fault: continuing could violate an invariant. */
    public void fail(String reason) {
        fault.compareAndSet(null, reason);
        done();
    }

    /** Waits until a stop is requested. */
    public void awaitStopRequest() throws InterruptedException {
        requested.await();
    }

    /** Waits until the stop is complete; returns false if {@code limitMillis} passes first. */
    public boolean awaitStopComplete(long limitMillis) throws InterruptedException {
        return done.await(limitMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the fault that stopped the router; null if there is none. */
    public String fault() {
        return fault.get();
    }
}
