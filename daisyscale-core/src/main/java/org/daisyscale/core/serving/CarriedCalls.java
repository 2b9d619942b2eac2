package org.daisyscale.core.serving;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
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

    private final Map<Long, Long> firstAnswerNanosByName = new HashMap<>();

    /** Returns whether the connection may carry a call whose responses bear {@code name}. */
    public boolean mayCarry(String name) {
        return !isFull() && !firstAnswerNanosByName.containsKey(hash(name));
    }

    /** Returns whether the connection may carry no further call and must be closed. */
    public boolean isFull() {
        return firstAnswerNanosByName.size() >= MAX_CALLS;
    }

    /** Records that a call whose responses bear {@code name} was sent. */
    public void recordSent(String name) {
        firstAnswerNanosByName.putIfAbsent(hash(name), NOT_ANSWERED);
    }

    /** Records that the call {@code name} was answered at {@code nowNanos} of the monotonic clock. */
    public void recordAnswered(String name, long nowNanos) {
        firstAnswerNanosByName.merge(hash(name), nowNanos, (before, now) -> before == NOT_ANSWERED ? now : before);
    }

    /**
     * Returns when the call {@code name} was first answered, in nanoseconds of the monotonic clock; empty if it was not
     * sent or not answered.
     */
    public OptionalLong firstAnswerNanos(String name) {
        long nanos = firstAnswerNanosByName.getOrDefault(hash(name), NOT_ANSWERED);
        return nanos == NOT_ANSWERED ? OptionalLong.empty() : OptionalLong.of(nanos);
    }

    /** Names come from callers and may be long, so only their hashes are kept. */
    private static long hash(String name) {
        return Hashing.sipHash24().hashString(name, StandardCharsets.UTF_8).asLong();
    }
}
