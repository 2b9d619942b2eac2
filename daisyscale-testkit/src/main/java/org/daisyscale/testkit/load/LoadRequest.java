package org.daisyscale.testkit.load;

/**
 * One request of a run. Immutable but for the array, which nobody changes.
 *
 * @param number its number in the run, from 0
 * @param kind the kind
 * @param path the path behind the job name
 * @param id the Idempotency-Key; empty for none
 * @param body the body
 * @param intendedNanos when it should begin, in nanoseconds after the run's start
 */
public record LoadRequest(long number, LoadKind kind, String path, String id, byte[] body, long intendedNanos) {

    /** The path with the job name in front, if there is one. */
    public String callerPath() {
        return kind.job().isEmpty() ? path : "/" + kind.job() + path;
    }
}
