package org.daisyscale.router.serving;

/**
 * An HTTP call in the form that the platform requires. Immutable except for the array, which must not be modified.
 *
 * @param method the method
 * @param target the path with the query
 * @param jsonBody the body; empty for none
 */
@SuppressWarnings("ArrayRecordComponent")
public record WireCall(String method, String target, byte[] jsonBody) {
    private static final byte[] NO_BODY = {};

    /** Creates a call without a body. */
    public static WireCall of(String method, String target) {
        return new WireCall(method, target, NO_BODY);
    }
}
