package org.daisyscale.router.internal.request;

import java.util.ArrayList;
import java.util.List;

/**
 * The reply to a caller. Immutable, provided that nobody modifies the body array.
 *
 * @param status the HTTP status
 * @param headers the headers without Content-Length
 * @param body the complete body
 * @param service the service, for metrics; empty if unknown
 * @param kind the kind, for metrics; empty if unknown
 * @param code {@code answered}, or the error code DSC-nnnn
 */
public record CallerReply(
        int status, List<HeaderField> headers, byte[] body, String service, String kind, String code) {
    public static final String ANSWERED = "answered";

    public CallerReply {
        headers = List.copyOf(headers);
    }

    /** Creates the reply that forwards the complete answer of a backend server. */
    public static CallerReply answered(BackendAnswer answer, String service, String kind) {
        List<HeaderField> headers = new ArrayList<>(answer.headers());
        headers.add(new HeaderField("Daisyscale-Outcome", ANSWERED));
        return new CallerReply(answer.status(), headers, answer.body(), service, kind, ANSWERED);
    }
}
