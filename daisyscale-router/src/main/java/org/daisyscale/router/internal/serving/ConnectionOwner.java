package org.daisyscale.router.internal.serving;

/** Keeps connections between calls. Implementations are confined to the thread of their event loop. */
interface ConnectionOwner {

    /** Accepts a connection whose call has ended and which can carry another one. */
    void release(HttpConnection connection);

    /** Removes a connection that was closed while it carried no call. */
    void remove(HttpConnection connection);
}
