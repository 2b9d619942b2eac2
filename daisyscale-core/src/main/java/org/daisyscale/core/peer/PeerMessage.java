package org.daisyscale.core.peer;

import java.util.List;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.quota.QuotaGrant;
import org.daisyscale.core.quota.QuotaReport;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.KeyMapChange;

/**
 * A message between routers. The connection identifies the sender. Each message is immutable.
 *
 * <p>A message may be lost with its connection, delayed or duplicated; no decision may depend on its delivery.
 */
public sealed interface PeerMessage {

    /**
     * Asks for a {@link Pong}, which the witness records as evidence.
     *
     * @param sentNanos the time of sending on the sender's monotonic clock, echoed in the answer, in nanoseconds
     * @param mapVersion the newest map version that the sender knows
     * @param configurationRevision the newest configuration revision that the sender knows
     */
    record Ping(long sentNanos, long mapVersion, long configurationRevision) implements PeerMessage {}

    /**
     * Answers a {@link Ping}.
     *
     * @param echoSentNanos the {@code sentNanos} of the ping
     * @param mapVersion the newest map version that the sender knows
     * @param configurationRevision the configuration revision that the sender has in force
     * @param isStopping whether the sender is in a planned stop
     */
    record Pong(long echoSentNanos, long mapVersion, long configurationRevision, boolean isStopping)
            implements PeerMessage {}

    /** Asks for the newest ownership map. */
    record MapRequest() implements PeerMessage {}

    /**
     * Carries the newest ownership map that the sender knows.
     *
     * @param map the map
     */
    record MapUpdate(OwnershipMap map) implements PeerMessage {}

    /** Asks for the newest configuration. */
    record ConfigurationRequest() implements PeerMessage {}

    /**
     * Carries the newest configuration that the sender knows.
     *
     * @param configuration the configuration
     */
    record ConfigurationUpdate(Configuration configuration) implements PeerMessage {}

    /**
     * Asks the dispatcher of a range for a permit to send one request.
     *
     * @param requestId the request's id, unique at the entry router
     * @param service the service
     * @param kind the kind of request
     * @param range the dispatch range
     * @param keyHash the hash of the key; -1 for a request without a key
     * @param callerId the caller, for fair sharing between callers
     * @param idempotencyKey the caller's id of the request; empty for idempotent kinds without one
     * @param digest the digest that identifies a suspect request
     * @param attempt the number of the attempt, starting at 1
     * @param excludedServer a server that the permit must not name; empty for none
     * @param isHedge whether the attempt is a hedge of an attempt that is still in flight
     * @param remainingMillis the time left until the request's deadline, in milliseconds
     */
    record PermitRequest(
            String requestId,
            String service,
            String kind,
            int range,
            long keyHash,
            String callerId,
            String idempotencyKey,
            String digest,
            int attempt,
            String excludedServer,
            boolean isHedge,
            long remainingMillis)
            implements PeerMessage {}

    /**
     * Grants a permit.
     *
     * @param requestId the request's id
     * @param permit the permit
     */
    record PermitGranted(String requestId, Permit permit) implements PeerMessage {}

    /**
     * Rejects a permit request. The request did not run through this dispatcher, unless the code reports an unknown
     * outcome.
     *
     * @param requestId the request's id
     * @param code the stable code of a {@link org.daisyscale.core.error.CoreErrorCode}
     * @param isRetryable whether a retry after a short time may succeed
     */
    record PermitRefused(String requestId, String code, boolean isRetryable) implements PeerMessage {}

    /**
     * Cancels a pending permit request.
     *
     * @param requestId the request's id
     */
    record PermitCancelled(String requestId) implements PeerMessage {}

    /**
     * Returns a used or unused permit with the outcome of its order.
     *
     * @param service the service
     * @param range the dispatch range
     * @param orderId the order's id
     * @param outcome the outcome of the order
     * @param serviceMicros the time from sending the order to its complete answer, in microseconds
     */
    record PermitReturned(String service, int range, String orderId, BackendOutcome outcome, long serviceMicros)
            implements PeerMessage {}

    /**
     * Reports to a new dispatcher which of the sender's orders are in flight at the range's servers.
     *
     * @param service the service
     * @param range the dispatch range
     * @param epoch the epoch of the assignment that the report is for
     * @param orders the orders in flight
     */
    record InFlightReport(String service, int range, long epoch, List<InFlightOrder> orders) implements PeerMessage {

        public InFlightReport {
            orders = List.copyOf(orders);
        }
    }

    /**
     * Hands the ledger of a range over to its next dispatcher in a planned change.
     *
     * @param service the service
     * @param range the dispatch range
     * @param epoch the epoch of the assignment that receives the ledger
     * @param knownSinceMillis the time after which the ledger is complete: it holds every id with a later timestamp; in
     *     milliseconds since the epoch
     * @param entries the entries of the ledger
     */
    record LedgerHandover(String service, int range, long epoch, long knownSinceMillis, List<LedgerEntry> entries)
            implements PeerMessage {

        public LedgerHandover {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Reports to the controller that the sender no longer dispatches a range that the newest map assigns to another
     * router.
     *
     * @param service the service
     * @param range the dispatch range
     * @param epoch the epoch of the assignment for which the sender released the range
     */
    record RangeReleased(String service, int range, long epoch) implements PeerMessage {}

    /**
     * Reports to the controller what changed in a dispatcher's view of its servers. The last report about a server or
     * about hot keys that a message omits remains valid.
     *
     * @param service the service
     * @param range the dispatch range
     * @param servers the views of the servers that changed or are due for a periodic refresh
     * @param hotKeyHashes the hottest keys, hottest first; empty if they are not due for a refresh
     */
    record RangeReport(String service, int range, List<ServerView> servers, List<HotKey> hotKeyHashes)
            implements PeerMessage {

        public RangeReport {
            servers = List.copyOf(servers);
            hotKeyHashes = List.copyOf(hotKeyHashes);
        }
    }

    /**
     * Reports that a backend server confirmed that it gave up the slices which the map of this version takes from it.
     *
     * @param server the backend server
     * @param mapVersion the map version that the server confirmed
     */
    record GrantGivenUp(String server, long mapVersion) implements PeerMessage {}

    /**
     * Reports that a request was running when its server crashed.
     *
     * @param digest the request's digest
     * @param crashCount the number of crashes seen so far; 0 clears the suspicion
     */
    record SuspectSeen(String digest, int crashCount) implements PeerMessage {}

    /**
     * An order in flight.
     *
     * @param orderId the order's id
     * @param server the backend server
     * @param kind the kind of request
     * @param idempotencyKey the caller's id; empty for none
     * @param remainingMillis the time left until the order's deadline, in milliseconds
     */
    record InFlightOrder(String orderId, String server, String kind, String idempotencyKey, long remainingMillis) {}

    /**
     * An entry of the ledger of callers' ids.
     *
     * @param idempotencyKey the caller's id
     * @param state the known state of the request
     * @param atEpochMillis the creation time of the entry, in milliseconds since the epoch
     */
    record LedgerEntry(String idempotencyKey, LedgerState state, long atEpochMillis) {}

    /** The state that a ledger records for an id. */
    enum LedgerState {
        RUNNING,
        RAN,
        UNKNOWN
    }

    /**
     * A dispatcher's view of one server.
     *
     * @param server the backend server
     * @param isReachable whether the server answered a probe sent within the silence limit
     * @param silentMillis the time since the last answered probe was sent, in milliseconds
     * @param status the last status; null before the first
     * @param requestsPerSecond the rate of answered requests, per second
     * @param slices the load of each slice
     */
    record ServerView(
            String server,
            boolean isReachable,
            long silentMillis,
            ServerStatus status,
            double requestsPerSecond,
            List<SliceLoad> slices) {

        public ServerView {
            slices = List.copyOf(slices);
        }
    }

    /**
     * The load of one slice.
     *
     * @param startHash the slice's first hash
     * @param busyMicrosPerSecond the service time spent on the slice, in microseconds per second
     */
    record SliceLoad(long startHash, double busyMicrosPerSecond) {}

    /**
     * The load of a hot key.
     *
     * @param keyHash the key's hash
     * @param busyMicrosPerSecond the service time spent on the key, in microseconds per second
     */
    record HotKey(long keyHash, double busyMicrosPerSecond) {}

    /**
     * Reports the load of the sender's keys to the controller of the keys.
     *
     * @param load the keys of the requests and the service times since the last report
     */
    record KeyLoadReport(KeyLoad load) implements PeerMessage {}

    /**
     * Carries the assignment of a service's keys to their owners.
     *
     * @param map the newest key map in the store
     */
    record KeyMapUpdate(KeyMap map) implements PeerMessage {}

    /**
     * Carries what changed in a service's key map since the last update or change sent to the same router.
     *
     * @param change the change
     */
    record KeyMapChanged(KeyMapChange change) implements PeerMessage {}

    /**
     * Asks the controller for a whole key map, since a change did not apply to the sender's one.
     *
     * @param service the service
     */
    record KeyMapRequest(String service) implements PeerMessage {}

    /**
     * Reports that the controller has just read a prefix of the store, and what it holds.
     *
     * @param prefix the key prefix
     * @param version the version of the controller's view
     * @param ageMillis the time since the store proved that version, in milliseconds
     */
    record ViewReport(String prefix, ViewVersion version, long ageMillis) implements PeerMessage {}

    /**
     * Says what the sender holds of a prefix: acknowledges updates up to it, and asks for the difference to the
     * controller's view.
     *
     * @param prefix the key prefix
     * @param version the version of the sender's view
     * @param needsWhole whether a difference did not apply, so that the whole view is needed
     */
    record ViewHeld(String prefix, ViewVersion version, boolean needsWhole) implements PeerMessage {}

    /**
     * Carries what the receiver lacks of the controller's view of a prefix.
     *
     * @param update the update
     */
    record ViewUpdated(ViewUpdate update) implements PeerMessage {}

    /**
     * Reports that a server was lost while it ran a request, which may have crashed it.
     *
     * @param fingerprint the fingerprint of the request
     * @param serverId the id of the server
     * @param bornEpochMillis the start of the server's incarnation, in milliseconds since the epoch
     */
    record RequestLost(long fingerprint, String serverId, long bornEpochMillis) implements PeerMessage, FleetNews {}

    /**
     * Reports that a server answered a request that was lost at others before.
     *
     * @param fingerprint the fingerprint of the request
     */
    record RequestAnswered(long fingerprint) implements PeerMessage, FleetNews {}

    /**
     * Reports that a server said that it is cold although it seemed warm.
     *
     * @param serverId the id of the server
     * @param bornEpochMillis the start of the server's incarnation, in milliseconds since the epoch
     * @param coldLeftMillis how much longer it is cold, in milliseconds
     */
    record ServerTurnedCold(String serverId, long bornEpochMillis, long coldLeftMillis)
            implements PeerMessage, FleetNews {}

    /**
     * Reports that a server announced in an answer that it leaves.
     *
     * @param serverId the id of the server
     * @param bornEpochMillis the start of the server's incarnation, in milliseconds since the epoch
     */
    record ServerLeaving(String serverId, long bornEpochMillis) implements PeerMessage, FleetNews {}

    /**
     * Reports the sender's credits of the organisations' allowances to the controller, and asks for more.
     *
     * @param report the report
     */
    record QuotaReported(QuotaReport report) implements PeerMessage {}

    /**
     * Grants credits of the organisations' allowances.
     *
     * @param grant the grant
     */
    record QuotaGranted(QuotaGrant grant) implements PeerMessage {}
}
