package org.daisyscale.core.serving;

/**
 * One incarnation of a backend server as it registered itself. Immutable.
 *
 * @param id the server's id
 * @param bornEpochMillis when this incarnation started, in milliseconds since the epoch; distinguishes incarnations
 * @param service the service it belongs to
 * @param host the IP address
 * @param port the port
 * @param dataCentre the data centre
 * @param slots the number of requests that it runs at once
 * @param isDraining whether it is draining before it leaves
 * @param coldLeftMillis how much longer it is cold, in milliseconds
 */
public record BackendServer(
        String id,
        long bornEpochMillis,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean isDraining,
        long coldLeftMillis) {

    /** Returns whether {@code other} is the same incarnation. */
    public boolean isSameIncarnation(BackendServer other) {
        return id.equals(other.id) && bornEpochMillis == other.bornEpochMillis;
    }
}
