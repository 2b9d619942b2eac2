package org.daisyscale.router.internal.vmlist;

import org.daisyscale.core.error.DaisyscaleException;

/** Signals that the list of VMs can't be read or used. Immutable. */
public final class VmListException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode}; {@code cause} may be null. */
    public VmListException(VmListErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
