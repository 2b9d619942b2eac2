package org.daisyscale.codec;

import org.daisyscale.core.error.DaisyscaleException;

/** Thrown if a value or message can't be encoded or decoded. Immutable. */
public final class CodecException extends DaisyscaleException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for {@code errorCode}; {@code cause} may be null. */
    public CodecException(CodecErrorCode errorCode, String detail, Throwable cause) {
        super(errorCode, detail, cause);
    }
}
