package org.daisyscale.router.internal.peer;

import org.daisyscale.core.error.ErrorCode;

/** The error codes of the connections between routers. Immutable. */
public enum PeerErrorCode implements ErrorCode {
    CANNOT_LISTEN("DSC-3101", "The router cannot listen on the peer port", "Check --peer-host and --peer-port"),
    UNAUTHENTICATED("DSC-3102", "The other side failed peer authentication", "Give all routers the same peer secret"),
    WRONG_PEER("DSC-3103", "A different router answered than the one dialed", "Wait until the VM list is updated"),
    BAD_HANDSHAKE(
            "DSC-3104", "A handshake message is malformed or out of order", "Check what connects to the peer port"),
    BAD_FRAME(
            "DSC-3105",
            "A frame is malformed or too large",
            "Check the frame limit and that all routers run compatible releases"),
    TIMED_OUT("DSC-3106", "The peer did not respond in time", "Check whether the peer is paused or unreachable"),
    OUTBOX_FULL("DSC-3107", "The outbox of a peer is full", "Check whether the peer is paused or overloaded"),
    CONNECTION_FAILED("DSC-3108", "The connection to a peer failed", "Check whether the other router is running"),
    SECRET_MISSING("DSC-3109", "The peer secret is empty", "Set --peer-secret-file or DAISYSCALE_PEER_SECRET");

    private final String code;
    private final String summary;
    private final String remedy;

    PeerErrorCode(String code, String summary, String remedy) {
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
