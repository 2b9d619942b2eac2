package org.daisyscale.router.internal.http;

import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.core.error.ErrorCode;

/** Thrown when an HTTP call returned no complete answer. Immutable. */
public final class HttpCallException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose {@code detail} says what failed; {@code cause} may be null. */
    public HttpCallException(Code code, String detail, Throwable cause) {
        super(code, detail, cause);
    }

    /** Returns whether the request was certainly not sent. */
    public boolean isNotSent() {
        return errorCode() == Code.NOT_CONNECTED;
    }

    /** The error codes of HTTP calls. Immutable. */
    public enum Code implements ErrorCode {
        NOT_CONNECTED("DSC-3201", "The HTTP connection could not be established", "Check the address"),
        NO_ANSWER(
                "DSC-3202",
                "No complete HTTP answer arrived in time",
                "Check whether the server is slow or unreachable");

        private final String code;
        private final String summary;
        private final String remedy;

        Code(String code, String summary, String remedy) {
            this.code = code;
            this.summary = summary;
            this.remedy = remedy;
        }

        @Override
        public String code() {
            return code;
        }

        @Override
        public String summary() {
            return summary;
        }

        @Override
        public String remedy() {
            return remedy;
        }
    }
}
