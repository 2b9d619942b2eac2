package org.daisyscale.core.error;

/** An error of the decision core, identified by a {@link CoreErrorCode}. Immutable. */
public final class CoreException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode} with the human-readable circumstances in {@code detail}. */
    public CoreException(CoreErrorCode errorCode, String detail) {
        super(errorCode, detail, null);
    }
}
