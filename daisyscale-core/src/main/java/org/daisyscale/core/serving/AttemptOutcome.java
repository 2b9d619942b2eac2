package org.daisyscale.core.serving;

/** How an attempt at a backend server ended. */
public enum AttemptOutcome {
    /** The server sent a complete answer that may be delivered. */
    ANSWERED(true),
    /** The server sent a complete answer that reports a failure of its own; the request ran. */
    FAILED(true),
    /** The server was at capacity and did not run the request. */
    REFUSED_FULL(false),
    /** The server is not the owner of the key, or another server has the address; the request did not run. */
    REFUSED_NOT_OWNER(false),
    /** The server rejected the request for another reason and did not run it. */
    REFUSED(false),
    /** No byte of the request was sent because no connection could be opened. */
    NOT_SENT(false),
    /** No byte of the request was sent in time because this router is overloaded. */
    EXPIRED(false),
    /** The server's port refused the connection because its process is gone. */
    CONNECTION_REFUSED(false),
    /** The connection closed after the request was sent. */
    LOST(true),
    /** The answer was truncated or did not belong to this request. */
    SPOILED(true);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the server may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the request reached the server. */
    public boolean reachedServer() {
        return this != NOT_SENT && this != EXPIRED && this != CONNECTION_REFUSED;
    }
}
