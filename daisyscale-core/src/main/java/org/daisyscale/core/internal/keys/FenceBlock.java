package org.daisyscale.core.internal.keys;

/**
 * Hands out the fences (fencing tokens) that are reserved for this controller. They lie below the next fence of a map
 * that this controller wrote, so that every later controller starts above them and no fence is used twice. Not
 * thread-safe; confined to the core thread.
 */
final class FenceBlock {
    /** Fences that each written map reserves: enough for minutes in which every renewal needs a new fence. */
    static final long SIZE = 10_000;
    /** With fewer fences left, the next block is due. */
    private static final long LOW_COUNT = SIZE / 4;

    private long next;
    private long end;

    /** Discards the block after reading a map that another controller may have written. */
    void clear() {
        end = next;
    }

    /** Records that this controller wrote a map whose next fence is {@code nextFence}. */
    void recordWritten(long nextFence) {
        next = nextFence - SIZE;
        end = nextFence;
    }

    boolean isEmpty() {
        return next >= end;
    }

    boolean isLow() {
        return end - next < LOW_COUNT;
    }

    /** Returns a fence that was never used before; throws {@link IllegalStateException} if none is left. */
    long take() {
        if (isEmpty()) {
            throw new IllegalStateException("no reserved fence is left; write a key map to reserve more");
        }
        return next++;
    }
}
