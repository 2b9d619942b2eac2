package org.daisyscale.core.serving;

/**
 * What a backend server announced with an answer about the requests that follow. Immutable.
 *
 * @param isLeaving whether the server leaves and should get no new requests
 * @param pauseMillis how long the server wants no requests of this router, in milliseconds; 0 for no such wish
 * @param invalidHeaders the names of the headers that could not be understood, for the log; empty for none
 */
public record ServerNotice(boolean isLeaving, long pauseMillis, String invalidHeaders) {
    /** The notice of an answer that announces nothing. */
    public static final ServerNotice NONE = new ServerNotice(false, 0, "");
}
