package org.daisyscale.testkit.backend;

import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.http.HttpCall;

/**
 * An order as it came. Immutable.
 *
 * @param orderId the id of the attempt
 * @param idempotencyKey the caller's id; empty for none
 * @param method the HTTP method
 * @param path the path
 * @param keyHash the hash of the key; -1 for none
 * @param epoch the epoch of the key's slice; -1 for none
 * @param deadlineMillis the deadline on the server's own clock, in milliseconds; 0 for none
 * @param bodyBytes the size of the body
 * @param bodySha256 the digest of the body in hexadecimal; empty for an empty body
 */
public record Order(
        String orderId,
        String idempotencyKey,
        String method,
        String path,
        long keyHash,
        long epoch,
        long deadlineMillis,
        int bodyBytes,
        String bodySha256) {

    static Order of(HttpCall call) {
        return new Order(
                call.header("Daisyscale-Order-Id"),
                call.header("Idempotency-Key"),
                call.method(),
                call.path(),
                number(call, "Daisyscale-Key-Hash", -1),
                number(call, "Daisyscale-Epoch", -1),
                number(call, "Daisyscale-Deadline", 0),
                call.body().length,
                Digest.sha256(call.body()));
    }

    private static long number(HttpCall call, String header, long absent) {
        String text = call.header(header);
        try {
            return text.isEmpty() ? absent : Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new TestkitException(TestkitErrorCode.BAD_MESSAGE, header + ": " + text, e);
        }
    }
}
