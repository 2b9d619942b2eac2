package org.daisyscale.cli.internal.error;

import org.daisyscale.core.error.DaisyscaleException;

/** An error of the command line. Immutable. */
public final class CliException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode}; {@code detail} says what happened and to what. */
    public CliException(CliErrorCode errorCode, String detail) {
        this(errorCode, detail, null);
    }

    /** Creates an exception for {@code errorCode} that wraps {@code cause}. */
    public CliException(CliErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
