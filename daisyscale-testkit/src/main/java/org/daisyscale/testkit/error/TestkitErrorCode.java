package org.daisyscale.testkit.error;

import org.daisyscale.core.error.ErrorCode;

/** The codes of the testkit's errors. */
public enum TestkitErrorCode implements ErrorCode {
    LISTEN_FAILED("DST-1001", "The address can't be listened on", "Choose a port that no other process uses."),
    PROCESS_FAILED("DST-1002", "A started process failed", "Read the log that the message names."),
    CALL_FAILED("DST-1003", "A call to a stand-in failed", "Check that the process runs and its address is right."),
    RECORD_FILE_FAILED("DST-1004", "The record file can't be used", "Give a path in a writable directory."),
    BAD_SETTING("DST-1005", "A setting is not valid", "Correct the flag that the message names."),
    BAD_MESSAGE("DST-1006", "A message can't be read", "Send the JSON that the call asks for.");

    private final String code;
    private final String summary;
    private final String remedy;

    TestkitErrorCode(String code, String summary, String remedy) {
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
