package org.daisyscale.cli.internal.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.burn.BurnArithmetic;
import org.daisyscale.cli.internal.burn.BurnReport;
import org.daisyscale.cli.internal.burn.CountFrom;
import org.daisyscale.cli.internal.burn.RouterSample;
import org.daisyscale.cli.internal.decision.HealthCheck;
import org.daisyscale.cli.internal.decision.HealthChecks;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.output.TextTable;
import org.daisyscale.cli.internal.router.RouterFleet;
import org.daisyscale.core.status.RouterStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Checks the guarantees of the routers repeatedly; the last snapshot decides the exit code. */
@Command(
        name = "watch",
        description = "Checks the guarantees repeatedly. Exits with 1 if one is violated in the last snapshot.",
        footerHeading = "%nExamples:%n",
        footer = {"  daisyscale watch --for 10m --every 5s", "  daisyscale watch --for 1s --output json"})
final class WatchCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            defaultValue = "1h",
            converter = DurationConverter.class,
            description = "How long to watch (default: ${DEFAULT-VALUE}).")
    private Duration duration;

    @Option(
            names = "--every",
            paramLabel = "TIME",
            defaultValue = "2s",
            converter = DurationConverter.class,
            description = "Time between snapshots (default: ${DEFAULT-VALUE}).")
    private Duration period;

    WatchCommand(CliContext context) {
        this.context = context;
    }

    /** The part of a snapshot that is printed as JSON. */
    private record Summary(long atEpochMillis, List<HealthCheck> checks, List<String> unreachable) {}

    /** The results of the checks at one time and the router statuses that they were computed from. */
    private record Snapshot(
            long atEpochMillis, List<RouterStatus> statuses, List<HealthCheck> checks, List<String> unreachable) {

        Summary summary() {
            return new Summary(atEpochMillis, checks, unreachable);
        }

        boolean isPassing() {
            return checks.stream().allMatch(HealthCheck::isPassing);
        }

        List<String> lines() {
            TextTable table = new TextTable(
                    "CHECK", "PASSES", Instant.ofEpochMilli(atEpochMillis).toString());
            checks.forEach(check -> table.add(check.name(), check.isPassing() ? "yes" : "NO", check.detail()));
            List<String> lines = new ArrayList<>(table.lines());
            unreachable.forEach(address -> lines.add("no answer from " + address));
            lines.add("");
            return lines;
        }
    }

    @Override
    public Integer call() {
        DurationConverter.checkPeriod(period);
        try (RouterConnection connection = routers.open()) {
            return watch(connection.fleet());
        }
    }

    private int watch(RouterFleet fleet) {
        Sampler sampler = new Sampler(context, fleet, null);
        long endMillis = context.nowMillis() + duration.toMillis();
        List<RouterSample> first = sampler.take();
        List<RouterStatus> previous = List.of();
        Snapshot snapshot;
        do {
            snapshot = snapshot(fleet, sampler, first, previous);
            previous = snapshot.statuses().isEmpty() ? previous : snapshot.statuses();
            context.console().show(output.format(), snapshot.summary(), snapshot.lines());
        } while (waitForNext(endMillis));
        return snapshot.isPassing() ? ExitCode.DONE : ExitCode.FAILED;
    }

    private Snapshot snapshot(
            RouterFleet fleet, Sampler sampler, List<RouterSample> first, List<RouterStatus> previous) {
        try {
            RouterFleet.Answers<RouterStatus> statuses = fleet.statuses();
            BurnReport burn = burnSince(first, sampler.take());
            List<HealthCheck> checks = HealthChecks.measure(statuses.values(), previous, burn);
            return new Snapshot(context.nowMillis(), statuses.values(), checks, statuses.unreachable());
        } catch (CliException failure) {
            if (failure.errorCode() != CliErrorCode.ROUTER_UNREACHABLE) {
                throw failure;
            }
            HealthCheck unreachable = new HealthCheck("routers answer", false, failure.detail());
            return new Snapshot(context.nowMillis(), List.of(), List.of(unreachable), List.of());
        }
    }

    private static BurnReport burnSince(List<RouterSample> first, List<RouterSample> newest) {
        List<RouterSample> samples = new ArrayList<>(first);
        samples.addAll(newest);
        return BurnArithmetic.report(samples, List.of(), CountFrom.FIRST_SAMPLE);
    }

    private boolean waitForNext(long endMillis) {
        if (context.nowMillis() + period.toMillis() > endMillis) {
            return false;
        }
        context.sleeper().sleep(period);
        return true;
    }
}
