package org.daisyscale.cli.internal.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.daisyscale.cli.internal.burn.BurnReport;
import org.daisyscale.cli.internal.burn.KindBurn;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;

/** Checks the guarantees of the system against the states that routers report. Immutable. */
public final class HealthChecks {
    private static final int MAX_IMBALANCE_PERCENT = 150;
    private static final double PERCENT = 100;

    private final Collection<RouterStatus> statuses;
    private final RouterStatus newest;

    private HealthChecks(Collection<RouterStatus> statuses) {
        this.statuses = statuses;
        this.newest = statuses.stream()
                .max(Comparator.comparingLong(RouterStatus::mapVersion))
                .orElseThrow();
    }

    /**
     * Returns one check for each guarantee, and one for the objective of each kind.
     *
     * @param statuses the routers' states; must not be empty
     * @param previous the states of the previous snapshot; empty for the first snapshot
     * @param burn the burn since the start of the watch
     */
    public static List<HealthCheck> measure(
            Collection<RouterStatus> statuses, Collection<RouterStatus> previous, BurnReport burn) {
        HealthChecks now = new HealthChecks(statuses);
        List<HealthCheck> lines = new ArrayList<>();
        lines.add(now.authority());
        lines.add(now.platform());
        lines.add(now.configuration());
        lines.add(now.owners());
        lines.add(now.churn(previous));
        lines.add(now.imbalance());
        lines.add(now.leaving());
        lines.add(invariants(burn));
        lines.addAll(objectives(burn));
        return lines;
    }

    private HealthCheck authority() {
        List<String> without = statuses.stream()
                .filter(status -> !status.hasAuthority())
                .map(RouterStatus::router)
                .toList();
        String controller = statuses.stream()
                .filter(RouterStatus::isController)
                .map(RouterStatus::router)
                .collect(Collectors.joining(", "));
        String detail = without.isEmpty()
                ? "controller " + (controller.isEmpty() ? "not among the routers that answered" : controller)
                : "without authority: " + String.join(", ", without);
        return new HealthCheck("routers have authority", without.isEmpty(), detail);
    }

    private HealthCheck platform() {
        List<String> disconnected = statuses.stream()
                .filter(status -> !status.isPlatformReachable())
                .map(RouterStatus::router)
                .toList();
        String detail = disconnected.isEmpty() ? "reachable" : "outage mode at " + String.join(", ", disconnected);
        return new HealthCheck("platform's service is reachable", disconnected.isEmpty(), detail);
    }

    private HealthCheck configuration() {
        long revision = statuses.stream()
                .mapToLong(RouterStatus::configurationRevision)
                .max()
                .orElse(0);
        RolloutProgress progress = RolloutProgress.of(revision, statuses);
        return new HealthCheck("configuration is in force everywhere", progress.isDone(), progress.describe());
    }

    private HealthCheck owners() {
        long unowned =
                newest.slices().stream().filter(slice -> !slice.isSettled()).count();
        String detail = "%d of %d slices without a settled owner"
                .formatted(unowned, newest.slices().size());
        return new HealthCheck("every key has an owner", unowned == 0, detail);
    }

    private HealthCheck churn(Collection<RouterStatus> previous) {
        Set<String> before = previous.stream()
                .flatMap(status -> status.slices().stream())
                .map(HealthChecks::sliceAndOwner)
                .collect(Collectors.toSet());
        long moved = newest.slices().stream()
                .filter(slice -> !before.isEmpty() && !before.contains(sliceAndOwner(slice)))
                .count();
        return new HealthCheck(
                "ownership is calm", moved == 0, "%d slices moved since the last snapshot".formatted(moved));
    }

    private static String sliceAndOwner(SliceAssignment slice) {
        return "%s %d %s".formatted(slice.service(), slice.startHash(), slice.server());
    }

    private HealthCheck imbalance() {
        Map<String, Map<String, Long>> slicesByServer = newest.slices().stream()
                .filter(slice -> !slice.server().isEmpty())
                .collect(Collectors.groupingBy(
                        SliceAssignment::service,
                        Collectors.groupingBy(SliceAssignment::server, Collectors.counting())));
        double percent = slicesByServer.values().stream()
                .mapToDouble(HealthChecks::maxToMeanPercent)
                .max()
                .orElse(PERCENT);
        String detail =
                String.format(Locale.ROOT, "the backend server with the most slices holds %.0f%% of the mean", percent);
        return new HealthCheck("slices are balanced", percent <= MAX_IMBALANCE_PERCENT, detail);
    }

    private static double maxToMeanPercent(Map<String, Long> slicesByServer) {
        LongSummaryStatistics slices =
                slicesByServer.values().stream().mapToLong(Long::longValue).summaryStatistics();
        return PERCENT * slices.getMax() / slices.getAverage();
    }

    private HealthCheck leaving() {
        List<String> busy = statuses.stream()
                .flatMap(status -> status.servers().stream())
                .filter(server -> server.isOut() || server.isDraining())
                .filter(server -> server.runningCount() > 0)
                .map(ServerSummary::server)
                .distinct()
                .sorted()
                .toList();
        String detail = busy.isEmpty() ? "no orders in flight" : "orders in flight at: " + String.join(", ", busy);
        return new HealthCheck("leaving backend servers have no work", busy.isEmpty(), detail);
    }

    private static HealthCheck invariants(BurnReport burn) {
        Map<String, Double> broken = burn.invariantsBroken();
        String detail = broken.isEmpty() ? "none broken since the start of the watch" : broken.toString();
        return new HealthCheck("invariants hold", broken.isEmpty(), detail);
    }

    private static List<HealthCheck> objectives(BurnReport burn) {
        return burn.kinds().stream().map(HealthChecks::objective).toList();
    }

    private static HealthCheck objective(KindBurn kind) {
        String detail = String.format(
                Locale.ROOT,
                "%.0f good, %.0f bad since the start of the watch, objective %s%% within %d ms",
                kind.goodCount(),
                kind.badCount(),
                kind.goodPercent(),
                kind.latencyMillis());
        return new HealthCheck("objective of " + kind.fullName(), kind.budgetLeftPercent() >= 0, detail);
    }
}
