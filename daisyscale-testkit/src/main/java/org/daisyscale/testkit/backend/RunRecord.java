package org.daisyscale.testkit.backend;

/**
 * A server's own record of one request that it ran. Immutable.
 *
 * @param server the server
 * @param incarnation the server's incarnation
 * @param runNumber the number of the run in the server's process
 * @param orderId the id of the attempt
 * @param idempotencyKey the caller's id; empty for none
 * @param method the HTTP method
 * @param path the path
 * @param keyHash the hash of the key; -1 for none
 * @param epoch the epoch of the order; -1 for none
 * @param startMillis the start on the server's clock, in milliseconds
 * @param endMillis the end on the server's clock, in milliseconds; 0 while it runs
 * @param outcome how it ended
 * @param bodyBytes the size of the body
 * @param bodySha256 the digest of the body
 */
public record RunRecord(
        String server,
        String incarnation,
        long runNumber,
        String orderId,
        String idempotencyKey,
        String method,
        String path,
        long keyHash,
        long epoch,
        long startMillis,
        long endMillis,
        RunOutcome outcome,
        int bodyBytes,
        String bodySha256) {

    static RunRecord started(String server, String incarnation, long runNumber, Order order, long startMillis) {
        return new RunRecord(
                server,
                incarnation,
                runNumber,
                order.orderId(),
                order.idempotencyKey(),
                order.method(),
                order.path(),
                order.keyHash(),
                order.epoch(),
                startMillis,
                0,
                RunOutcome.RUNNING,
                order.bodyBytes(),
                order.bodySha256());
    }

    RunRecord ended(RunOutcome newOutcome, long newEndMillis) {
        return new RunRecord(
                server,
                incarnation,
                runNumber,
                orderId,
                idempotencyKey,
                method,
                path,
                keyHash,
                epoch,
                startMillis,
                newEndMillis,
                newOutcome,
                bodyBytes,
                bodySha256);
    }
}
