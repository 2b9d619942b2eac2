package org.daisyscale.core.internal.dispatch;

/**
 * Identifies one queue of a dispatch range. Requests are queued by the server they are bound to, if any, and each kind
 * with a concurrency limit has queues of its own. Immutable.
 *
 * @param server the server that the requests are bound to; empty while any may run them
 * @param limitedKind the kind with a concurrency limit; empty for all others
 */
record QueueKey(String server, String limitedKind) {

    boolean isBound() {
        return !server.isEmpty();
    }
}
