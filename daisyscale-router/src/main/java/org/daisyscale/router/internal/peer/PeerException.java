package org.daisyscale.router.internal.peer;

import org.daisyscale.core.error.DaisyscaleException;

/** Thrown when a connection between routers fails. Immutable. */
public final class PeerException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode}; {@code cause} may be null. */
    public PeerException(PeerErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
