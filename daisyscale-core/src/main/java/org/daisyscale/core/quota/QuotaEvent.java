package org.daisyscale.core.quota;

import java.util.Set;
import org.daisyscale.core.serving.OrganisationTable;

/** An event that the controller's ledger handles. Each event is immutable. */
public sealed interface QuotaEvent {

    /** The router {@code routerId}, which may be this one, sent {@code report}. */
    record ReportReceived(String routerId, QuotaReport report) implements QuotaEvent {}

    /** A connection to the router {@code routerId} was opened. */
    record RouterConnected(String routerId) implements QuotaEvent {}

    /** The set of registered routers changed to {@code routerIds}. */
    record RoutersChanged(Set<String> routerIds) implements QuotaEvent {

        public RoutersChanged {
            routerIds = Set.copyOf(routerIds);
        }
    }

    /** The configuration has the organisations {@code table}. */
    record OrganisationsChanged(OrganisationTable table) implements QuotaEvent {}

    /** This router holds the control lease until {@code validUntilNanos} of its monotonic clock. */
    record LeaseRenewed(long validUntilNanos) implements QuotaEvent {}

    /** The lease may have expired while this router's VM was suspended; it counts again once it is renewed. */
    record LeaseUncertain() implements QuotaEvent {}

    /** This router no longer holds the control lease. */
    record LeaseLost() implements QuotaEvent {}
}
