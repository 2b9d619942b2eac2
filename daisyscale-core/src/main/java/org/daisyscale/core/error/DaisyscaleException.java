package org.daisyscale.core.error;

import java.util.Objects;

/**
 * The base class of the unchecked exceptions of all layers; the message says what happened, why, and what to do. Each
 * layer has its own subclass and wraps exceptions of the layer below as the cause. Immutable.
 */
public abstract class DaisyscaleException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient ErrorCode errorCode;
    private final String detail;

    /** Creates an exception whose message consists of the code, its summary, {@code detail} and the remedy. */
    protected DaisyscaleException(ErrorCode errorCode, String detail, Throwable cause) {
        super("%s %s: %s. %s".formatted(errorCode.code(), errorCode.summary(), detail, errorCode.remedy()), cause);
        this.detail = detail;
        this.errorCode = Objects.requireNonNull(errorCode, "errorCode");
    }

    /** Returns the stable error code. */
    public ErrorCode errorCode() {
        return errorCode;
    }

    /** Returns the circumstances, without the summary and the remedy of the code. */
    public String detail() {
        return detail;
    }
}
