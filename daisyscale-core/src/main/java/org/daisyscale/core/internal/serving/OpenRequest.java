package org.daisyscale.core.internal.serving;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.daisyscale.core.serving.CallerIdentity;
import org.daisyscale.core.serving.Organisation;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.Route;

/** Tracks a request that has no final answer yet. Not thread-safe; confined to the core thread. */
final class OpenRequest {
    private final long requestId;
    private final RequestHead head;
    private final long fingerprint;
    private final Route route;
    private final Optional<Organisation> organisation;
    private final CallerIdentity caller;
    private final String service;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final Set<String> triedServers = new HashSet<>();
    private ServerView currentServer;
    private int attemptCount;
    private boolean mayHaveRun;
    private OptionalLong creditExpiryNanos = OptionalLong.empty();
    private ServerView notOwner;
    private long notOwnerNanos;

    OpenRequest(
            long requestId,
            RequestHead head,
            long fingerprint,
            Route route,
            Caller caller,
            String service,
            long arrivedNanos,
            long deadlineNanos) {
        this.requestId = requestId;
        this.head = head;
        this.fingerprint = fingerprint;
        this.route = route;
        this.organisation = caller.organisation();
        this.caller = caller.identity();
        this.service = service;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
    }

    long requestId() {
        return requestId;
    }

    RequestHead head() {
        return head;
    }

    /** Returns the fingerprint, which all arrivals of the same request share. */
    long fingerprint() {
        return fingerprint;
    }

    Route route() {
        return route;
    }

    /** Returns the organisation of the caller; empty on public routes and without organisations. */
    Optional<Organisation> organisation() {
        return organisation;
    }

    CallerIdentity caller() {
        return caller;
    }

    /** Returns the priority; 0 is the highest. An organisation's own goes before the route's. */
    int priority() {
        return organisation.map(known -> known.priorityOn(route)).orElse(route.priority());
    }

    String service() {
        return service;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    long ageMillis(long nowNanos) {
        return (nowNanos - arrivedNanos) / 1_000_000L;
    }

    long timeLeftMillis(long nowNanos) {
        return (deadlineNanos - nowNanos) / 1_000_000L;
    }

    /** Returns the number of attempts so far, which is also the number of the latest attempt. */
    int attemptCount() {
        return attemptCount;
    }

    /** Returns the server of the attempt in flight; null while none is in flight. */
    ServerView currentServer() {
        return currentServer;
    }

    boolean hasTried(ServerView view) {
        return triedServers.contains(view.server().id());
    }

    int triedCount() {
        return triedServers.size();
    }

    void startAttempt(ServerView view, long nowNanos) {
        attemptCount++;
        currentServer = view;
        triedServers.add(view.server().id());
        view.recordSent(requestId, nowNanos);
    }

    /** Ends the attempt in flight. A server that the attempt did not reach does not count as tried. */
    void endAttempt(boolean mayHaveRunThere, boolean reachedServer) {
        mayHaveRun = mayHaveRun || mayHaveRunThere;
        if (!reachedServer) {
            triedServers.remove(currentServer.server().id());
        }
        currentServer = null;
    }

    /** Records the credit of the attempt that follows, by its expiry; empty if it needs none. */
    void setCredit(OptionalLong expiryNanos) {
        creditExpiryNanos = expiryNanos;
    }

    /** Returns the expiry of the credit of the latest attempt, by the monotonic clock; empty if it needs none. */
    OptionalLong creditExpiryNanos() {
        return creditExpiryNanos;
    }

    /** Records that the server of the attempt in flight rejected the request as not the owner of its key. */
    void recordNotOwner(long nowNanos) {
        notOwner = currentServer;
        notOwnerNanos = nowNanos;
    }

    /** Returns whether {@code view}'s server was the last to reject the request as not the owner of its key. */
    boolean isNotOwner(ServerView view) {
        return view.equals(notOwner);
    }

    long notOwnerNanos() {
        return notOwnerNanos;
    }

    /** Returns whether any server may have run the request. */
    boolean mayHaveRun() {
        return mayHaveRun || currentServer != null;
    }
}
