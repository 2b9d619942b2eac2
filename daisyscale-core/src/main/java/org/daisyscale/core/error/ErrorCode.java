package org.daisyscale.core.error;

/**
 * A stable error code. Each layer defines its codes in its own enum; docs/ERRORS.md lists all of them. Implementations
 * are immutable and thread-safe.
 */
public interface ErrorCode {

    /**
     * Returns the stable text used in logs, metrics, problem documents and docs/ERRORS.md, such as {@code DSC-1001}.
     */
    String code();

    /** Returns what happened, in one sentence without a full stop. */
    String summary();

    /** Returns what the reader can do about the error, in one sentence. */
    String remedy();
}
