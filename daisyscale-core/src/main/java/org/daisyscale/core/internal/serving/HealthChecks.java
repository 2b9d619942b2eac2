package org.daisyscale.core.internal.serving;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.HealthReport;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingAction;

/**
 * Asks servers that seem warm whether they are, since a server that turns cold says so at once only in its health
 * responses. Asked are servers that get more requests than a cold one may get.
 *
 * <p>Invariant: the routers that count each other share the checks of a server and tell each other what they learn; a
 * router that isn't counted by the others checks each server that it sends to, because it may send a cold one nothing.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class HealthChecks {
    /**
     * Interval between the checks of a server by all routers together, in milliseconds: at full load a server gets less
     * than a cold one's limit meanwhile.
     */
    private static final long SHARED_INTERVAL_MILLIS = 200;
    /** Interval between the checks of a server by a router that isn't counted by the others, in milliseconds. */
    private static final long SINGLE_INTERVAL_MILLIS = 250;

    private final FleetView fleet;

    HealthChecks(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Returns the check that is due when a request is sent to {@code view}'s server; empty for none. */
    Optional<ServingAction> onSent(ServerView view, long nowNanos) {
        Optional<ServiceRules> rules = fleet.rules(view.server().service())
                .filter(found -> !found.healthPath().isEmpty() && found.coldStartMillis() > 0);
        if (rules.isEmpty() || view.coldStartLimiter().isCold(nowNanos)) {
            return Optional.empty();
        }
        boolean isShared = fleet.routers().isComplete(nowNanos);
        long intervalMillis = isShared ? SHARED_INTERVAL_MILLIS * fleet.routerCount(nowNanos) : SINGLE_INTERVAL_MILLIS;
        if ((isShared && !isFast(view, rules.get(), nowNanos)) || !view.startCheck(intervalMillis, nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(
                new ServingAction.CheckHealth(view.server(), rules.get().healthPath()));
    }

    private boolean isFast(ServerView view, ServiceRules rules, long nowNanos) {
        double limit = rules.coldRequestsPerSecond() * fleet.settings().coldBurstFactor()
                + fleet.settings().coldSlackRequests();
        return view.requestsPerSecond(nowNanos) > limit;
    }

    /** Handles what {@code server} said; returns what has to be told of it. */
    List<ServingAction> handleReport(BackendServer server, HealthReport report, long nowNanos) {
        boolean isOwnReport = report.serverId().isEmpty() || report.serverId().equals(server.id());
        if (report.coldLeftMillis() <= 0 || !isOwnReport) {
            return List.of();
        }
        boolean wasWarm = markCold(server.id(), server.bornEpochMillis(), report.coldLeftMillis(), nowNanos);
        return wasWarm
                ? List.of(
                        new ServingAction.ShareNews(new PeerMessage.ServerTurnedCold(
                                server.id(), server.bornEpochMillis(), report.coldLeftMillis())),
                        new ServingAction.Report(
                                "server-turned-cold",
                                "server=" + server.id() + " coldLeftMillis=" + report.coldLeftMillis()))
                : List.of();
    }

    /** Handles what another router learned. */
    void handle(FleetNews news, long nowNanos) {
        if (news instanceof PeerMessage.ServerTurnedCold cold) {
            markCold(cold.serverId(), cold.bornEpochMillis(), cold.coldLeftMillis(), nowNanos);
        }
    }

    /** Marks the incarnation as cold if it is registered; returns whether it seemed warm before. */
    private boolean markCold(String serverId, long bornEpochMillis, long coldLeftMillis, long nowNanos) {
        Optional<ColdStartLimiter> limiter = fleet.servers()
                .find(serverId)
                .filter(view -> view.server().bornEpochMillis() == bornEpochMillis)
                .map(ServerView::coldStartLimiter);
        boolean wasWarm = limiter.filter(found -> !found.isCold(nowNanos)).isPresent();
        limiter.ifPresent(found -> found.markColdUntil(nowNanos + coldLeftMillis * 1_000_000L));
        return wasWarm;
    }
}
