package org.daisyscale.router.serving;

import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.core.error.ErrorCode;

/** Thrown when the platform's store gives no usable response. Immutable. */
public final class StoreException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the circumstances in {@code detail}; {@code cause} may be null. */
    public StoreException(Code code, String detail, Throwable cause) {
        super(code, detail, cause);
    }

    /** The error codes of the client of the store. Immutable. */
    public enum Code implements ErrorCode {
        UNREACHABLE(
                "DSC-3301", "The platform's store did not respond", "Check whether the store is down or unreachable"),
        TURNED_AWAY("DSC-3302", "The platform's store rejected the call", "Check the store's load and limits"),
        UNREADABLE("DSC-3303", "The response of the platform's store can't be parsed", "Compare the store's version"),
        OLD_ERA(
                "DSC-3304",
                "The response of the platform's store is older than its last restore",
                "Check for replicas of the store that were not restored"),
        CLOSED("DSC-3305", "The platform's store refused the connection", "Check whether the store is running");

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
