package org.daisyscale.codec.document;

import org.daisyscale.core.error.ErrorCode;

/** Defines the error codes for reading documents. Immutable. */
public enum DocumentErrorCode implements ErrorCode {
    INVALID_TEXT("DSC-2501", "The document can't be read", "Correct the lines named in the message");

    private final String code;
    private final String summary;
    private final String remedy;

    DocumentErrorCode(String code, String summary, String remedy) {
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
