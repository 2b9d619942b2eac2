package org.daisyscale.router.internal.operator;

import org.daisyscale.router.internal.json.Json;
import ratpack.http.Response;

/**
 * An HTTP reply to an operator. Immutable; the body must not be modified.
 *
 * @param status the HTTP status
 * @param mediaType the media type of the body
 * @param body the whole body
 */
record OperatorReply(int status, String mediaType, byte[] body) {
    private static final int OK = 200;

    static OperatorReply json(Object value) {
        return new OperatorReply(OK, "application/json", Json.write(value));
    }

    static OperatorReply problem(OperatorProblem problem) {
        return new OperatorReply(problem.status(), "application/problem+json", Json.write(problem));
    }

    void writeTo(Response response) {
        response.status(status).noCompress().send(mediaType, body);
    }
}
