package org.daisyscale.router.internal.http;

import io.netty.util.ByteProcessor;

/**
 * Checks, byte by byte, that each field line in the head of a response is a token, a colon and a value without control
 * characters (RFC 9110, section 5). Netty's decoder takes more in responses: it ends a field name at a blank, and joins
 * a line that begins with one to the field before it. A head that is malformed stays so until {@link #reset}. Not
 * thread-safe.
 */
public final class ResponseHeadValidator implements ByteProcessor {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private Position position = Position.BEFORE_STATUS_LINE;
    private int offsetBytes;
    private String problem = "";

    /** Where in a head the next byte is. */
    private enum Position {
        BEFORE_STATUS_LINE,
        STATUS_LINE,
        FIELD_START,
        FIELD_NAME,
        FIELD_VALUE,
        FIELD_END,
        HEAD_END,
        COMPLETE,
        MALFORMED
    }

    /** Begins with the head of the next response. */
    public void reset() {
        position = Position.BEFORE_STATUS_LINE;
        offsetBytes = 0;
        problem = "";
    }

    /**
     * Reads the next byte of the head.
     *
     * @return whether more bytes belong to the head; once false, further bytes are ignored
     */
    @Override
    public boolean process(byte value) {
        if (isOver()) {
            return false;
        }
        Position next = next(value);
        if (next == Position.MALFORMED) {
            problem = "byte 0x%02x at offset %d of the head is not allowed in state %s"
                    .formatted(value & 0xff, offsetBytes, position);
        }
        position = next;
        offsetBytes++;
        return !isOver();
    }

    private boolean isOver() {
        return position == Position.COMPLETE || position == Position.MALFORMED;
    }

    /** Returns whether the head has a malformed field line. */
    public boolean isMalformed() {
        return position == Position.MALFORMED;
    }

    /** Returns which byte makes the head malformed; empty if none does. */
    public String problem() {
        return problem;
    }

    private Position next(byte value) {
        return switch (position) {
            case BEFORE_STATUS_LINE -> isBlankOrControl(value) ? position : Position.STATUS_LINE;
            case STATUS_LINE -> value == '\n' ? Position.FIELD_START : position;
            case FIELD_START -> value == '\r' ? Position.HEAD_END : nameIf(isTokenCharacter(value));
            case FIELD_NAME -> value == ':' ? Position.FIELD_VALUE : nameIf(isTokenCharacter(value));
            case FIELD_VALUE -> nextInValue(value);
            case FIELD_END -> value == '\n' ? Position.FIELD_START : Position.MALFORMED;
            case HEAD_END -> value == '\n' ? Position.COMPLETE : Position.MALFORMED;
            case COMPLETE, MALFORMED -> position;
        };
    }

    private static Position nameIf(boolean isPartOfName) {
        return isPartOfName ? Position.FIELD_NAME : Position.MALFORMED;
    }

    private static Position nextInValue(byte value) {
        if (value == '\r') {
            return Position.FIELD_END;
        }
        boolean isAllowed = value == ' ' || value == '\t' || !isBlankOrControl(value);
        return isAllowed ? Position.FIELD_VALUE : Position.MALFORMED;
    }

    /** Bytes over 0x7f are negative; they are neither. */
    private static boolean isBlankOrControl(byte value) {
        return (value >= 0 && value <= ' ') || value == DELETE;
    }

    private static boolean isTokenCharacter(byte value) {
        return (value >= '0' && value <= '9')
                || (value >= 'A' && value <= 'Z')
                || (value >= 'a' && value <= 'z')
                || TOKEN_PUNCTUATION.indexOf(value) >= 0;
    }
}
