package org.daisyscale.core.serving;

import java.util.List;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.quota.OrganisationCounts;
import org.daisyscale.core.quota.QuotaReport;

/** An action that the shell of the request path carries out. Immutable. */
public sealed interface ServingAction {

    /**
     * Sends a request to a server.
     *
     * @param requestId the id of the request
     * @param attempt 1 for the first attempt
     * @param server the server
     * @param timeLeftMillis how long the server has to answer, in milliseconds
     * @param caller who the caller is
     */
    record SendAttempt(long requestId, int attempt, BackendServer server, long timeLeftMillis, CallerIdentity caller)
            implements ServingAction {

        /** Creates the action for a caller whose identity isn't verified. */
        public SendAttempt(long requestId, int attempt, BackendServer server, long timeLeftMillis) {
            this(requestId, attempt, server, timeLeftMillis, CallerIdentity.UNVERIFIED);
        }
    }

    /** Cancels an attempt by closing its connection. */
    record CancelAttempt(long requestId, int attempt) implements ServingAction {}

    /** Delivers the answer of {@code attempt} to the caller. */
    record Deliver(long requestId, int attempt) implements ServingAction {}

    /**
     * Rejects a request without a server's answer.
     *
     * @param requestId the id of the request
     * @param reason the error code, which also says whether the request may have run
     * @param detail the circumstances, for the caller and the log
     * @param retryAfterMillis the retry-after advice, in milliseconds; 0 for none
     * @param logDetail the state of this router that the decision was based on, for the log only; may be empty
     */
    record Reject(long requestId, CoreErrorCode reason, String detail, long retryAfterMillis, String logDetail)
            implements ServingAction {

        /** Creates the action for a rejection that {@code detail} explains. */
        public Reject(long requestId, CoreErrorCode reason, String detail, long retryAfterMillis) {
            this(requestId, reason, detail, retryAfterMillis, "");
        }
    }

    /** Reports the key load at this router to the router that controls the keys. */
    record ReportKeyLoad(KeyLoad load) implements ServingAction {}

    /** Reports the credits at this router to the controller and asks for more. */
    record ReportQuota(QuotaReport report) implements ServingAction {}

    /** Publishes what became of the requests of the busiest organisations. */
    record PublishCounts(List<OrganisationCounts> counts) implements ServingAction {

        public PublishCounts {
            counts = List.copyOf(counts);
        }
    }

    /** Checks the health of {@code server} at {@code healthPath}. Only a response leads to an event. */
    record CheckHealth(BackendServer server, String healthPath) implements ServingAction {}

    /** Tells all other routers what this one saw. */
    record ShareNews(FleetNews news) implements ServingAction {}

    /** Writes {@code losses} to the store, in place of what it has about the same request. */
    record StoreLosses(LossRecord losses) implements ServingAction {}

    /**
     * Writes a log line.
     *
     * @param event the stable name of the event
     * @param detail the circumstances
     */
    record Report(String event, String detail) implements ServingAction {}
}
