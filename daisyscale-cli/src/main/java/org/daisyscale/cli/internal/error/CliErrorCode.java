package org.daisyscale.cli.internal.error;

import org.daisyscale.core.error.ErrorCode;

/** The error codes of the command line. Immutable. */
public enum CliErrorCode implements ErrorCode {
    WRONG_USE("DSC-6001", "The command line is not valid", "See the command's --help"),
    FILE_UNREADABLE("DSC-6002", "A file can't be read", "Check its name, size and permissions"),
    FILE_UNWRITABLE("DSC-6003", "A file can't be written", "Check its folder and permissions"),
    ROUTER_UNREACHABLE("DSC-6101", "No router answered", "Check --router and that the routers run"),
    NOT_AUTHORISED("DSC-6102", "The router rejected the operator token", "Check the token and its environment"),
    ROUTER_REFUSED("DSC-6103", "The router rejected the request", "Follow the instructions in the router's message"),
    UNEXPECTED_ANSWER(
            "DSC-6104", "The response is not from a daisyscale router", "Check the address given by --router"),
    CONFIGURATION_RACE(
            "DSC-6201",
            "The configuration has changed since it was read",
            "Review the newer changes, then run the command again"),
    DOCUMENT_REFUSED("DSC-6202", "The document is not valid", "Correct the lines named in the message"),
    OUTCOME_UNKNOWN(
            "DSC-6203",
            "The change may have been accepted",
            "Check `document history` before running the command again"),
    DANGEROUS(
            "DSC-6301", "The step is dangerous and was not taken", "Return backend servers to service, or see --force"),
    PROMOTION_REFUSED(
            "DSC-6302",
            "The document was not promoted",
            "Wait until trial meets its objectives, or give --force --reason"),
    NOT_CONFIRMED("DSC-6303", "The change was not confirmed; nothing was changed", "Answer yes, or give --yes"),
    NOT_IN_FORCE(
            "DSC-6304", "The change is accepted but not in force everywhere", "Check the routers named in the message"),
    UNKNOWN_NAME("DSC-6305", "The routers know no such name", "Use one of the names listed in the message"),
    NO_DATA("DSC-6401", "There is nothing to compute from", "Take samples from reachable routers first");

    private final String code;
    private final String summary;
    private final String remedy;

    CliErrorCode(String code, String summary, String remedy) {
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
