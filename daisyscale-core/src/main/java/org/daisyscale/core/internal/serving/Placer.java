package org.daisyscale.core.internal.serving;

/** Chooses the server of a request. Implementations are not thread-safe and are confined to the core thread. */
interface Placer {

    /** Decides where {@code request} goes at {@code nowNanos}. */
    Placement place(OpenRequest request, long nowNanos);

    /** Returns the maximum expected latency of a request that has to wait, as a fraction of its latency objective. */
    double objectiveFraction();
}
