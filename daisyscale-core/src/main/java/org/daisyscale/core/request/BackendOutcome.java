package org.daisyscale.core.request;

/** How one order to a backend server ended, as far as the router that sent it can prove. */
public enum BackendOutcome {
    /** A complete answer to this order arrived. */
    ANSWERED(true, true),
    /** The order never left the router: no connection, or the permit had expired. */
    NOT_SENT(false, true),
    /** The server rejected the order because it doesn't own the key at the order's epoch; it ran nothing. */
    NOT_OWNER(false, true),
    /** The server shed the order; it ran nothing. */
    SHED(false, true),
    /** The server rejected the order because it drains; it ran nothing. */
    DRAINING(false, true),
    /** The order's deadline had passed at the server; it ran nothing. */
    EXPIRED(false, true),
    /** The connection ended after the order was sent and before a complete answer. */
    CONNECTION_LOST(false, false),
    /** No complete answer arrived before the timeout. */
    TIMED_OUT(false, false),
    /** The answer belonged to another order, or was malformed or truncated. */
    WRONG_ANSWER(false, false);

    private final boolean isAnswer;
    private final boolean isCertain;

    BackendOutcome(boolean isAnswer, boolean isCertain) {
        this.isAnswer = isAnswer;
        this.isCertain = isCertain;
    }

    /** Returns whether the server provably ran nothing. */
    public boolean isNotRun() {
        return isCertain && !isAnswer;
    }

    /** Returns whether it is unknown if the server ran the order. */
    public boolean isUnknown() {
        return !isCertain;
    }
}
