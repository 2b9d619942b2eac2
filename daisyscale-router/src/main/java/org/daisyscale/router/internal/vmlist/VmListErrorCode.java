package org.daisyscale.router.internal.vmlist;

import org.daisyscale.core.error.ErrorCode;

/** The error codes of the VM list. Immutable. */
public enum VmListErrorCode implements ErrorCode {
    UNREACHABLE(
            "DSC-4301",
            "The list of VMs can't be read",
            "Check that --vm-list-url answers; the last list stays in use"),
    MALFORMED_LIST("DSC-4302", "The list of VMs is malformed", "Correct the list; the last valid one stays in use"),
    INVALID_ENTRY(
            "DSC-4303", "An entry of the list of VMs is invalid", "Correct the entry; the valid entries are used");

    private final String code;
    private final String summary;
    private final String remedy;

    VmListErrorCode(String code, String summary, String remedy) {
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
