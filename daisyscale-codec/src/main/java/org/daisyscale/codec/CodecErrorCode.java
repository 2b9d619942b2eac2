package org.daisyscale.codec;

import org.daisyscale.core.error.ErrorCode;

/** Defines the error codes of the codecs. Immutable. */
public enum CodecErrorCode implements ErrorCode {
    MALFORMED_JSON("DSC-2101", "The JSON is not valid or lacks a field", "Send JSON in the documented format"),
    UNWRITABLE_VALUE("DSC-2102", "The value can't be encoded", "Report the fault together with the value"),
    MALFORMED_MESSAGE(
            "DSC-2103", "The message is not valid MessagePack of its type", "Check which release the sender runs"),
    UNKNOWN_MESSAGE("DSC-2104", "The message has an unknown type", "Run the same release on all routers"),
    WRONG_PROTOCOL_VERSION("DSC-2105", "The message has another protocol version", "Run releases that share a version");

    private final String code;
    private final String summary;
    private final String remedy;

    CodecErrorCode(String code, String summary, String remedy) {
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
