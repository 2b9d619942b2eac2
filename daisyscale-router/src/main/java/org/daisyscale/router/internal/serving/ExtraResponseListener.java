package org.daisyscale.router.internal.serving;

/** Receives the responses that no call was waiting for. Implementations are thread-safe and do not block. */
@FunctionalInterface
interface ExtraResponseListener {

    /** Handles {@code extra}, which was not taken for the response to any call. */
    void onExtraResponse(ExtraResponse extra);
}
