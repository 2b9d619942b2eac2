package org.daisyscale.testkit.load;

import java.util.OptionalLong;

/** When a caller repeats a request with the same id. Implementations are immutable. */
public interface RetryRule {

    /** How many milliseconds to wait before a repetition, or empty for none. */
    OptionalLong delayMillisAfter(AttemptEnd end, int attemptCount);

    /** Repeats only where nobody listened, at the next address. */
    record RefusedConnections(int attemptLimit) implements RetryRule {
        @Override
        public OptionalLong delayMillisAfter(AttemptEnd end, int attemptCount) {
            boolean repeats = end == AttemptEnd.REFUSED_CONNECTION && attemptCount < attemptLimit;
            return repeats ? OptionalLong.of(0) : OptionalLong.empty();
        }
    }

    /** Repeats until a server's answer comes, a bounded number of times. */
    record UntilAnswered(int attemptLimit, long delayMillis) implements RetryRule {
        @Override
        public OptionalLong delayMillisAfter(AttemptEnd end, int attemptCount) {
            boolean repeats = end != AttemptEnd.ANSWERED && attemptCount < attemptLimit;
            return repeats ? OptionalLong.of(delayMillis) : OptionalLong.empty();
        }
    }
}
