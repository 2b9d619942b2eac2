package org.daisyscale.testkit.load;

import java.util.List;

/**
 * How one request ended. Immutable but for the array, which nobody changes.
 *
 * @param request the request
 * @param status the HTTP status; 0 when there was no answer
 * @param code the code of a problem document; empty for none
 * @param body the answer's body
 * @param ends how its attempts ended, the last one last
 * @param latencyNanos from the intended start to the end, in nanoseconds
 */
public record LoadResult(
        LoadRequest request, int status, String code, byte[] body, List<AttemptEnd> ends, long latencyNanos) {

    public LoadResult {
        ends = List.copyOf(ends);
    }

    /** How the last attempt ended. */
    public AttemptEnd end() {
        return ends.get(ends.size() - 1);
    }
}
