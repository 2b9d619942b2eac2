package org.daisyscale.router.internal.platform;

import org.daisyscale.core.error.DaisyscaleException;

/** Thrown when a call to the platform's service fails. Immutable. */
public final class PlatformException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode}; {@code cause} may be null. */
    public PlatformException(PlatformErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
