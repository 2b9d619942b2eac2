package org.daisyscale.core.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Remembers the calls that one connection has carried, by the name that their responses bear, and decides which calls
 * it may carry. A server may send a response a second time; on a connection that carries each name once, the copy is
 * never taken for the response to a later call.
 *
 * <p>Invariants: a call that was recorded is never forgotten; a connection whose calls are full carries no further one.
 *
 * <p>Not thread-safe.
 */
public final class CarriedCalls {
    /** Limit of the calls of one connection; bounds the memory for them. */
    public static final int MAX_CALLS = 256;

    private static final long NOT_ANSWERED = Long.MIN_VALUE;
    private static final int NOT_SENT = -1;
    private static final int INITIAL_CAPACITY = 4;

    /** Parallel arrays: a map of boxed values takes five times as much, on each connection. */
    private long[] nameHashes = new long[INITIAL_CAPACITY];

    private long[] firstAnswersNanos = new long[INITIAL_CAPACITY];
    private int count;

    /** Returns whether the connection may carry a call whose responses bear {@code name}. */
    public boolean mayCarry(String name) {
        return !isFull() && indexOf(hash(name)) == NOT_SENT;
    }

    /** Returns whether the connection may carry no further call and must be closed. */
    public boolean isFull() {
        return count >= MAX_CALLS;
    }

    /** Records that a call whose responses bear {@code name} was sent. */
    public void recordSent(String name) {
        long hash = hash(name);
        if (indexOf(hash) == NOT_SENT) {
            add(hash);
        }
    }

    private void add(long hash) {
        if (count == nameHashes.length) {
            nameHashes = Arrays.copyOf(nameHashes, 2 * count);
            firstAnswersNanos = Arrays.copyOf(firstAnswersNanos, 2 * count);
        }
        nameHashes[count] = hash;
        firstAnswersNanos[count] = NOT_ANSWERED;
        count++;
    }

    /** Records that the call {@code name}, which was recorded as sent, was answered at {@code nowNanos}. */
    public void recordAnswered(String name, long nowNanos) {
        int index = indexOf(hash(name));
        if (index != NOT_SENT && firstAnswersNanos[index] == NOT_ANSWERED) {
            firstAnswersNanos[index] = nowNanos;
        }
    }

    /**
     * Returns when the call {@code name} was first answered, in nanoseconds of the monotonic clock; empty if it was not
     * sent or not answered.
     */
    public OptionalLong firstAnswerNanos(String name) {
        int index = indexOf(hash(name));
        return index == NOT_SENT || firstAnswersNanos[index] == NOT_ANSWERED
                ? OptionalLong.empty()
                : OptionalLong.of(firstAnswersNanos[index]);
    }

    private int indexOf(long hash) {
        for (int index = 0; index < count; index++) {
            if (nameHashes[index] == hash) {
                return index;
            }
        }
        return NOT_SENT;
    }

    /** Names come from callers and may be long, so only their hashes are kept. */
    private static long hash(String name) {
        return Hashing.sipHash24().hashString(name, StandardCharsets.UTF_8).asLong();
    }
}
