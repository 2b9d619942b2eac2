package org.daisyscale.router.internal.error;

import org.daisyscale.core.error.ErrorCode;

/** The error codes of the router's shell, the code with input and output around the core. Immutable. */
public enum ShellErrorCode implements ErrorCode {
    INVALID_SETTINGS("DSC-2001", "The settings are invalid", "Correct each setting that the message names"),
    CANNOT_LISTEN(
            "DSC-2002", "The router can't listen", "Check the host and port, and that no other process uses the port"),
    CANNOT_READ_SECRET("DSC-2003", "A secret's file can't be read", "Check the file and its permissions"),
    ACTION_WITHOUT_HANDLER(
            "DSC-2004", "An action of the core has no handler", "Report it; it is a bug in the router's assembly"),
    STOPPED_BY_FAULT(
            "DSC-2005", "The router stopped because of an internal fault", "Report it with the log and the trace"),
    CANNOT_WRITE_TRACE("DSC-2006", "The trace can't be written", "Check the file, its folder and the free space"),
    MALFORMED_REQUEST("DSC-2207", "The request's target is malformed", "Send /job-name/path with a valid encoding"),
    UNAUTHORIZED("DSC-2201", "The operator token is missing or wrong", "Send Authorization: Bearer with the token"),
    MALFORMED_PROPOSAL("DSC-2202", "The proposal is malformed", "Send the JSON that docs/API.md describes"),
    PLATFORM_UNREACHABLE("DSC-2203", "The change could not be written", "Retry when the platform's service answers"),
    NO_OPERATOR_ANSWER("DSC-2204", "The router did not answer in time", "Read the state before a retry"),
    NO_SUCH_RESOURCE("DSC-2205", "The operators' address has no such path", "Check the path and the method");

    private final String code;
    private final String summary;
    private final String remedy;

    ShellErrorCode(String code, String summary, String remedy) {
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
