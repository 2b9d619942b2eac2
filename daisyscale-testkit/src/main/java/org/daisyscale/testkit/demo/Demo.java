package org.daisyscale.testkit.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.daisyscale.testkit.cluster.Cluster;
import org.daisyscale.testkit.cluster.ClusterLayout;
import org.daisyscale.testkit.cluster.RouterNode;
import org.daisyscale.testkit.cluster.ServerNode;
import org.daisyscale.testkit.cluster.StartedProcess;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.load.LoadResult;
import org.daisyscale.testkit.load.LoadRun;
import org.daisyscale.testkit.load.LoadSummary;
import org.daisyscale.testkit.load.RetryRule;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Shows the whole path with real processes on 127.0.0.1: a platform, routers and backend servers in three data centres,
 * requests of each kind, a killed router and a killed backend server. Its verdict comes from the servers' own records.
 * Used by one thread.
 */
@Command(name = "demo", mixinStandardHelpOptions = true)
public final class Demo implements Callable<Integer> {
    private static final Duration READY_LIMIT = Duration.ofSeconds(25);
    private static final RetryRule CALLER = new RetryRule.UntilAnswered(60, 200);
    private static final int FAILURE = 1;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--root", required = true, description = "The root of the workspace.")
    private Path root;

    @Option(names = "--keep", description = "Leave all running and print the addresses.")
    private boolean keeps;

    @Option(names = "--rate", defaultValue = "120", description = "The requests a second.")
    private double ratePerSecond;

    @Option(names = "--seconds", defaultValue = "12", description = "How long requests begin.")
    private int seconds;

    @Option(names = "--seed", defaultValue = "1", description = "The seed of requests and servers.")
    private long seed;

    private final List<LoadResult> results = new ArrayList<>();

    /** Runs the demonstration. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Demo()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException {
        Path directory = Cluster.newDirectory();
        try {
            return keeps ? keep(directory) : show(directory);
        } catch (TestkitException e) {
            say("demo failed: %s", e.getMessage());
            say("logs: %s", directory);
            return FAILURE;
        }
    }

    private ClusterLayout layout() throws IOException {
        String document = Files.readString(root.resolve("examples/rijnland.yaml"));
        Path launcher = root.resolve("bin/daisyscale-router").toAbsolutePath();
        return new ClusterLayout(
                List.of("dc1", "dc2", "dc3"), 1, DemoPlan.groups(), launcher, List.of(), document, seed);
    }

    private int keep(Path directory) throws IOException {
        Cluster cluster = Cluster.start(layout(), directory);
        cluster.awaitReady(READY_LIMIT);
        cluster.routers().forEach(this::sayHowToTry);
        say("operators' token: %s", cluster.operatorToken());
        say("platform: %s  logs: %s", cluster.platformUrl(), directory);
        String pids = cluster.processes().stream()
                .map(process -> Long.toString(process.pid()))
                .collect(Collectors.joining(" "));
        say("stop it with: kill %s", pids);
        return 0;
    }

    private void sayHowToTry(RouterNode router) {
        say("%s  operators: %s", router.id(), router.operatorUrl());
        say("  curl -i %s/%s/slots/k1", router.callerUrl(), DemoPlan.LOOKUP_JOB);
    }

    private int show(Path directory) throws IOException {
        long startNanos = System.nanoTime();
        try (Cluster cluster = Cluster.start(layout(), directory);
                var hook = new StopOnExit(cluster)) {
            cluster.awaitReady(READY_LIMIT);
            say(
                    "ready after %.1f s: %d processes",
                    secondsSince(startNanos), cluster.processes().size());
            LoadSummary summary = loadAndKill(cluster);
            DemoVerdict verdict = new DemoAudit(results, DemoPlan.ONCE_ONLY_KINDS, cluster.records()).verdict();
            report(summary, verdict);
            hook.close();
            cluster.close();
            say("all stopped after %.1f s; logs and records: %s", secondsSince(startNanos), directory);
            say("%s", verdict.lastLine());
            return verdict.isClean() && summary.notSentCount() == 0 ? 0 : FAILURE;
        }
    }

    private LoadSummary loadAndKill(Cluster cluster) {
        ScheduledExecutorService killer = Executors.newSingleThreadScheduledExecutor();
        RouterNode router = cluster.routers().get(0);
        ServerNode server = cluster.servers().get(0);
        long quarterMillis = TimeUnit.SECONDS.toMillis(seconds) / 4;
        killer.schedule(() -> kill(cluster, router.process()), quarterMillis, TimeUnit.MILLISECONDS);
        killer.schedule(() -> kill(cluster, server.process()), 2 * quarterMillis, TimeUnit.MILLISECONDS);
        try {
            var plan = DemoPlan.load(ratePerSecond, TimeUnit.SECONDS.toMillis(seconds), seed);
            var addresses =
                    cluster.routers().stream().map(RouterNode::callerUrl).toList();
            return new LoadRun(plan, addresses, CALLER, results::add).run();
        } finally {
            killer.shutdownNow();
        }
    }

    private void kill(Cluster cluster, StartedProcess process) {
        cluster.kill(process);
        say("killed %s (SIGKILL, process %d) while requests went on", process.name(), process.pid());
    }

    private void report(LoadSummary summary, DemoVerdict verdict) {
        say("");
        say("%-14s %8s %9s %9s %9s", "kind", "answered", "p50 ms", "p99 ms", "max ms");
        summary.kinds()
                .forEach((kind, latency) -> say(
                        "%-14s %8d %9.1f %9.1f %9.1f",
                        kind, latency.count(), latency.p50Millis(), latency.p99Millis(), latency.maxMillis()));
        say("how requests ended, repetitions of callers included:");
        summary.outcomes().forEach((outcome, count) -> say("  %-32s %6d", outcome, count));
        say("answered after a caller's repetition: %d", repeatedCount());
        say("not answered, truthfully: %d not run, %d unknown", verdict.notRunCount(), verdict.unknownCount());
        say("runs of a key by two servers at once: %d", verdict.sharedKeyCount());
    }

    private long repeatedCount() {
        return results.stream().filter(result -> result.ends().size() > 1).count();
    }

    private static double secondsSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private synchronized void say(String format, Object... arguments) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(String.format(format, arguments));
        out.flush();
    }
}
