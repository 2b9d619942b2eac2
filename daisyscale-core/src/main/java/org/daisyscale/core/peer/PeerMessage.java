package org.daisyscale.core.peer;

import java.util.List;
import java.util.Set;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RoutingTableChange;

/**
 * What routers say to each other. The sender is known from the connection. Each message is immutable.
 *
 * <p>A message may be lost with its connection, come late, or come twice; no decision depends on its coming.
 */
public sealed interface PeerMessage {

    /**
     * Asks for a {@link Pong}, the evidence of the witness.
     *
     * @param sentNanos the sender's monotonic clock, given back in the answer, in nanoseconds
     * @param mapVersion the newest map version that the sender knows
     * @param configurationRevision the newest configuration revision that the sender knows
     */
    record Ping(long sentNanos, long mapVersion, long configurationRevision) implements PeerMessage {}

    /**
     * Answers a {@link Ping}.
     *
     * @param echoSentNanos the {@code sentNanos} of the ping
     * @param mapVersion the newest map version that the sender knows
     * @param configurationRevision the newest configuration revision that the sender has in force
     * @param isStopping whether the sender is in a planned stop
     */
    record Pong(long echoSentNanos, long mapVersion, long configurationRevision, boolean isStopping)
            implements PeerMessage {}

    /** Asks for the newest map. */
    record MapRequest() implements PeerMessage {}

    /**
     * Tells the newest map that the sender knows.
     *
     * @param map the map
     */
    record MapUpdate(OwnershipMap map) implements PeerMessage {}

    /** Asks for the newest configuration. */
    record ConfigurationRequest() implements PeerMessage {}

    /**
     * Tells the newest configuration that the sender knows.
     *
     * @param configuration the configuration
     */
    record ConfigurationUpdate(Configuration configuration) implements PeerMessage {}

    /**
     * Asks the dispatcher of a range for a permit to send one request.
     *
     * @param requestId unique for the entry router and the request
     * @param service the service
     * @param kind the kind of request
     * @param range the dispatch range
     * @param keyHash the hash of the key; -1 for a request without a key
     * @param callerId the caller, for fairness
     * @param idempotencyKey the caller's id; empty for idempotent kinds without one
     * @param digest the digest by which a suspect request is known
     * @param attempt 1 for the first attempt
     * @param excludedServer a server that the permit must not name; empty for none
     * @param isHedge whether the attempt is a hedge of one that still runs
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
     * Gives a permit.
     *
     * @param requestId the request's id
     * @param permit the permit
     */
    record PermitGranted(String requestId, Permit permit) implements PeerMessage {}

    /**
     * Refuses a permit. The request was not run through this dispatcher, but for the unknown-outcome codes.
     *
     * @param requestId the request's id
     * @param code the code of the refusal, of {@link org.daisyscale.core.error.CoreErrorCode}
     * @param isRetryable whether asking again soon may help
     */
    record PermitRefused(String requestId, String code, boolean isRetryable) implements PeerMessage {}

    /**
     * Gives up a request that waits for a permit.
     *
     * @param requestId the request's id
     */
    record PermitCancelled(String requestId) implements PeerMessage {}

    /**
     * Returns a used or unused permit with what came of it.
     *
     * @param service the service
     * @param range the dispatch range
     * @param orderId the order's id
     * @param outcome how the order ended
     * @param serviceMicros the time from sending the order to its whole answer, in microseconds
     */
    record PermitReturned(String service, int range, String orderId, BackendOutcome outcome, long serviceMicros)
            implements PeerMessage {}

    /**
     * Tells a new dispatcher which of the sender's orders run at the range's servers.
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
     * Hands the ledger of a range to its next dispatcher in a planned change.
     *
     * @param service the service
     * @param range the dispatch range
     * @param epoch the epoch of the assignment that the ledger is handed to
     * @param knownSinceMillis the ledger holds every id whose time is later than this, in milliseconds since the epoch
     * @param entries the entries
     */
    record LedgerHandover(String service, int range, long epoch, long knownSinceMillis, List<LedgerEntry> entries)
            implements PeerMessage {

        public LedgerHandover {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Tells the controller that the sender no longer dispatches a range that the newest map gives to another router.
     *
     * @param service the service
     * @param range the dispatch range
     * @param epoch the epoch of the assignment that the sender gave way to
     */
    record RangeReleased(String service, int range, long epoch) implements PeerMessage {}

    /**
     * Tells the controller what is new of what a dispatcher sees of its servers; what it leaves out is as it was told.
     *
     * @param service the service
     * @param range the dispatch range
     * @param servers what is seen of the servers with news, or whose turn it is
     * @param hotKeyHashes the hashes of the keys with the most requests, most first; empty when it is not their turn
     */
    record RangeReport(String service, int range, List<ServerView> servers, List<HotKey> hotKeyHashes)
            implements PeerMessage {

        public RangeReport {
            servers = List.copyOf(servers);
            hotKeyHashes = List.copyOf(hotKeyHashes);
        }
    }

    /**
     * Tells that a backend server confirmed giving up what the map of this version takes from it.
     *
     * @param server the backend server
     * @param mapVersion the map version that the server confirmed
     */
    record GrantGivenUp(String server, long mapVersion) implements PeerMessage {}

    /**
     * Tells that a request was running when its server crashed.
     *
     * @param digest the request's digest
     * @param crashCount the crashes seen so far
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
     * An entry of the ledger of ids.
     *
     * @param idempotencyKey the caller's id
     * @param state what is known
     * @param atEpochMillis when the entry was made, in milliseconds since the epoch
     */
    record LedgerEntry(String idempotencyKey, LedgerState state, long atEpochMillis) {}

    /** What a ledger knows of an id. */
    enum LedgerState {
        RUNNING,
        RAN,
        UNKNOWN
    }

    /**
     * What a dispatcher sees of one server.
     *
     * @param server the backend server
     * @param isReachable whether the last probes were answered
     * @param silentMillis the time since the last answered probe was sent, in milliseconds
     * @param status the last status; null before the first
     * @param requestsPerSecond the requests answered in a second
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
     * @param busyMicrosPerSecond the service time spent on the slice in a second, in microseconds
     */
    record SliceLoad(long startHash, double busyMicrosPerSecond) {}

    /**
     * A key with many requests.
     *
     * @param keyHash the key's hash
     * @param busyMicrosPerSecond the service time spent on the key in a second, in microseconds
     */
    record HotKey(long keyHash, double busyMicrosPerSecond) {}

    /**
     * Tells the router that controls the keys of a router's load.
     *
     * @param load the keys of the requests since the last report
     */
    record KeyLoadReport(KeyLoad load) implements PeerMessage {}

    /**
     * Tells a router who owns the keys of a service.
     *
     * @param map the newest map that lies in the store
     */
    record KeyMapUpdate(KeyMap map) implements PeerMessage {}

    /**
     * Tells a router how far the controller has read the store, as of now.
     *
     * @param prefix the prefix of the items that were read
     * @param revision the store's revision of the last change under the prefix
     */
    record StoreProgress(String prefix, long revision) implements PeerMessage {}

    /**
     * Tells a router what the operator wrote, as the controller has read it.
     *
     * @param revision the store's revision up to which the controller has read
     * @param table what leads to the newest configuration
     * @param evacuatedDataCentres all data centres that must get no requests
     */
    record OperatorUpdate(long revision, RoutingTableChange table, Set<String> evacuatedDataCentres)
            implements PeerMessage {

        public OperatorUpdate {
            evacuatedDataCentres = Set.copyOf(evacuatedDataCentres);
        }
    }
}
