package org.daisyscale.core.quota;

/** An action that the controller's ledger requests from its caller. Each action is immutable. */
public sealed interface QuotaAction {

    /** Sends {@code grant} to the router {@code routerId}, which may be this one. */
    record SendGrant(String routerId, QuotaGrant grant) implements QuotaAction {}

    /** Writes a log line. */
    record Report(String event, String detail) implements QuotaAction {}
}
