package org.daisyscale.testkit.error;

import org.daisyscale.core.error.DaisyscaleException;

/** An error of the testkit. Immutable. */
public final class TestkitException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode} with the circumstances in {@code detail}. */
    public TestkitException(TestkitErrorCode errorCode, String detail) {
        super(errorCode, detail, null);
    }

    /** Creates an exception for {@code errorCode} that keeps {@code cause}. */
    public TestkitException(TestkitErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
