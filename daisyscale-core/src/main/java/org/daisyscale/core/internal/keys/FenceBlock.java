package org.daisyscale.core.internal.keys;

/**
 * The fences that this controller alone may give. They lie below the next fence of a map that it wrote itself, so that
 * every later controller begins above them; no fence is given twice. Owned by the thread that owns the core.
 */
final class FenceBlock {
    /** The fences that each written map sets aside: enough for minutes in which no renewal can be proved. */
    static final long SIZE = 10_000;
    /** When fewer are left, the next block is due. */
    private static final long LOW = SIZE / 4;

    private long next;
    private long end;

    /** Forgets the block: a map was read that another controller may have written. */
    void clear() {
        end = next;
    }

    /** This controller wrote a map with the next fence {@code nextFence}. */
    void written(long nextFence) {
        next = nextFence - SIZE;
        end = nextFence;
    }

    boolean isEmpty() {
        return next >= end;
    }

    boolean isLow() {
        return end - next < LOW;
    }

    /** A fence that was never given before. */
    long take() {
        if (isEmpty()) {
            throw new IllegalStateException("no fence is left; write a map first");
        }
        return next++;
    }
}
