package org.daisyscale.router.internal.front;

import java.util.concurrent.TimeUnit;

/** Counts the requests whose replies have not been sent yet. Thread-safe. */
final class OpenExchanges {
    private int openCount;

    synchronized void opened() {
        openCount++;
    }

    synchronized void closed() {
        openCount--;
        notifyAll();
    }

    /** Waits until every reply has been sent; returns false if {@code limitMillis} passes first. */
    synchronized boolean awaitNone(long limitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        long remainingNanos = endNanos - System.nanoTime();
        while (openCount > 0 && remainingNanos > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
            remainingNanos = endNanos - System.nanoTime();
        }
        return openCount == 0;
    }
}
