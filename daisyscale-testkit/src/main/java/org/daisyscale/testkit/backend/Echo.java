package org.daisyscale.testkit.backend;

/**
 * The body of a server's answer: names what it ran, so that a caller sees an answer to another request. Immutable.
 *
 * @param server the server
 * @param orderId the id of the attempt
 * @param idempotencyKey the caller's id
 * @param path the path
 * @param bodyBytes the size of the request's body
 * @param bodySha256 the digest of the request's body
 */
public record Echo(
        String server, String orderId, String idempotencyKey, String path, int bodyBytes, String bodySha256) {

    static Echo of(RunRecord run) {
        return new Echo(
                run.server(), run.orderId(), run.idempotencyKey(), run.path(), run.bodyBytes(), run.bodySha256());
    }
}
