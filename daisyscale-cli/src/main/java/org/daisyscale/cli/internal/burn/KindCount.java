package org.daisyscale.cli.internal.burn;

/**
 * One router's request counts of one kind since its process started, with the objective in force. Immutable.
 *
 * @param service the service
 * @param kind the kind
 * @param goodCount the requests answered within the objective's latency with a status below 500
 * @param badCount the other requests
 * @param goodRatio the objective's minimum ratio of good requests, in {@code (0, 1]}
 * @param latencySeconds the objective's latency, in seconds
 */
public record KindCount(
        String service, String kind, double goodCount, double badCount, double goodRatio, double latencySeconds) {

    /** Returns whether both count the same kind of the same service. */
    boolean isSameKindAs(KindCount other) {
        return kind.equals(other.kind) && service.equals(other.service);
    }

    /** Returns the kind's full name, such as {@code slot-lookup/lookup}. */
    public String fullName() {
        return service + "/" + kind;
    }
}
