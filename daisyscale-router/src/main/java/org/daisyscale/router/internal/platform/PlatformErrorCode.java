package org.daisyscale.router.internal.platform;

import org.daisyscale.core.error.ErrorCode;

/** The error codes of the platform's adapters. Immutable. */
public enum PlatformErrorCode implements ErrorCode {
    UNREACHABLE("DSC-4101", "The platform's service cannot be reached", "Check whether the service is running"),
    BAD_ANSWER("DSC-4102", "The platform's service sent an unexpected response", "Check that --platform-url is right"),
    BAD_VALUE("DSC-4103", "A value in the platform's service cannot be decoded", "Check what else writes to the key"),
    WRITE_NOT_SENT(
            "DSC-4104",
            "A write was not sent to the platform's service",
            "No action needed: the router decides it again"),
    ACTION_DROPPED(
            "DSC-4105", "A call to the platform's service was dropped", "No action needed: the router repeats it"),
    BAD_URL("DSC-4106", "A URL of the platform's service is not valid", "Correct --platform-url");

    private final String code;
    private final String summary;
    private final String remedy;

    PlatformErrorCode(String code, String summary, String remedy) {
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
