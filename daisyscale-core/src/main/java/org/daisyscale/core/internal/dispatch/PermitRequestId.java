package org.daisyscale.core.internal.dispatch;

/** Formats and parses the ids of permit requests: the entry router's request id and a sequence number. */
public final class PermitRequestId {
    private static final char SEPARATOR = '#';

    private PermitRequestId() {}

    /** Returns the id of the permit request with number {@code sequenceNumber} for {@code requestId}. */
    public static String of(String requestId, int sequenceNumber) {
        return requestId + SEPARATOR + sequenceNumber;
    }

    /** Returns the id of the entry router's request that {@code permitRequestId} belongs to. */
    public static String requestOf(String permitRequestId) {
        int end = permitRequestId.lastIndexOf(SEPARATOR);
        return end < 0 ? permitRequestId : permitRequestId.substring(0, end);
    }
}
