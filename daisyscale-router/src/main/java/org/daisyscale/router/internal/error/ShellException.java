package org.daisyscale.router.internal.error;

import org.daisyscale.core.error.DaisyscaleException;

/** Signals an error of the router's shell. Immutable. */
public final class ShellException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode} with the circumstances in {@code detail}. */
    public ShellException(ShellErrorCode errorCode, String detail) {
        super(errorCode, detail, null);
    }

    /** Creates an exception for {@code errorCode} that wraps {@code cause}, an exception of a lower layer. */
    public ShellException(ShellErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
