package org.daisyscale.core.request;

/**
 * A dispatcher's permission to send one order to one backend server. Immutable.
 *
 * @param orderId the unique id of the order; the server echoes it in its answer
 * @param service the service
 * @param range the dispatch range that the permit is returned to
 * @param server the id of the backend server
 * @param host the server's IP address
 * @param port the server's port
 * @param epoch the epoch of the key's slice; 0 for pooled services
 * @param mapVersion the map version on which the dispatcher based the permit
 * @param sendWithinMillis the order must be sent within this time after the permit request was sent, in milliseconds
 * @param deadlineServerMillis the order's deadline, in milliseconds on the server's own clock
 * @param keyHash the hash of the key; -1 for none
 */
public record Permit(
        String orderId,
        String service,
        int range,
        String server,
        String host,
        int port,
        long epoch,
        long mapVersion,
        long sendWithinMillis,
        long deadlineServerMillis,
        long keyHash) {}
