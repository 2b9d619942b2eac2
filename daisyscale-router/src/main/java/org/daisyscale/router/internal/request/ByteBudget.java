package org.daisyscale.router.internal.request;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes of bodies that the router holds at the same time. Reservations for requests never exceed the limit;
 * answers may, because their bytes are counted only after the backend server has done the work. Thread-safe.
 */
public final class ByteBudget {
    private final long limitBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates a budget of {@code limitBytes}. */
    public ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves {@code bytes}; returns empty and reserves nothing if that would exceed the limit. */
    public Optional<Reservation> tryReserve(long bytes) {
        long used = usedBytes.addAndGet(bytes);
        if (used > limitBytes) {
            usedBytes.addAndGet(-bytes);
            return Optional.empty();
        }
        return Optional.of(new Reservation(bytes));
    }

    /** Reserves {@code bytes} that the router already holds; may exceed the limit. */
    public Reservation reserveHeld(long bytes) {
        usedBytes.addAndGet(bytes);
        return new Reservation(bytes);
    }

    /** Returns the number of bytes currently reserved. */
    public long usedBytes() {
        return usedBytes.get();
    }

    /** Returns the limit, in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** A reserved part of the budget; the first close returns its bytes to the budget. Thread-safe. */
    public final class Reservation implements AutoCloseable {
        private long bytes;
        private boolean isClosed;

        private Reservation(long bytes) {
            this.bytes = bytes;
        }

        /** Returns the bytes beyond {@code neededBytes} to the budget. */
        public synchronized void shrinkTo(long neededBytes) {
            if (!isClosed && bytes > neededBytes) {
                usedBytes.addAndGet(neededBytes - bytes);
                bytes = neededBytes;
            }
        }

        /** Adds {@code moreBytes} that the router already holds; may exceed the limit. */
        public synchronized void grow(long moreBytes) {
            if (!isClosed) {
                bytes += moreBytes;
                usedBytes.addAndGet(moreBytes);
            }
        }

        @Override
        public synchronized void close() {
            if (!isClosed) {
                isClosed = true;
                usedBytes.addAndGet(-bytes);
            }
        }
    }
}
