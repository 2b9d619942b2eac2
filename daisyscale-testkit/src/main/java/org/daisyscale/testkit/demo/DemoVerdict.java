package org.daisyscale.testkit.demo;

/**
 * What the servers' own records say of a run. Immutable.
 *
 * @param sentCount the requests
 * @param answeredCount the requests with a server's answer
 * @param notRunCount the requests that ended with a truthful refusal
 * @param unknownCount the requests that ended with an honest "outcome unknown"
 * @param wrongCount the answers that don't belong to their request
 * @param doubledCount the requests that are not idempotent and ran more than once
 * @param lostCount the requests without an answer, or with one that the records contradict
 * @param sharedKeyCount the runs of an exclusive key that overlap with one on another server
 */
public record DemoVerdict(
        long sentCount,
        long answeredCount,
        long notRunCount,
        long unknownCount,
        long wrongCount,
        long doubledCount,
        long lostCount,
        long sharedKeyCount) {

    /** Whether nothing was wrong, doubled, lost or run by two owners at once, and something was answered. */
    public boolean isClean() {
        return answeredCount > 0 && wrongCount + doubledCount + lostCount + sharedKeyCount == 0;
    }

    /** The last line of the demonstration. */
    public String lastLine() {
        return "demo: %d sent, %d answered, %d wrong, %d doubled, %d lost"
                .formatted(sentCount, answeredCount, wrongCount, doubledCount, lostCount);
    }
}
