package org.daisyscale.router.internal.serving;

/** Keeps connections between their calls. Used by the thread of their event loop. */
interface ConnectionKeeper {

    /** The connection has no call any more and may take another. */
    void release(HttpConnection connection);

    /** The connection ended while it had no call. */
    void forget(HttpConnection connection);
}
