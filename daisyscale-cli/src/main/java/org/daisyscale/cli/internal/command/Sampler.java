package org.daisyscale.cli.internal.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.daisyscale.cli.internal.burn.MetricsReader;
import org.daisyscale.cli.internal.burn.RouterSample;
import org.daisyscale.cli.internal.burn.SampleFile;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.router.RouterFleet;

/** Samples the metrics of routers and appends the samples to a file if one is given. Not thread-safe. */
final class Sampler {
    private final CliContext context;
    private final RouterFleet fleet;
    private final SampleFile file;
    private final TreeSet<String> unreachable = new TreeSet<>();

    /** Creates a sampler of {@code fleet} that stores samples in {@code file}, or nowhere if it is null. */
    Sampler(CliContext context, RouterFleet fleet, SampleFile file) {
        this.context = context;
        this.fleet = fleet;
        this.file = file;
    }

    /**
     * Takes one sample of each router. Returns the stored samples of the last {@code historyMillis} plus 10 percent,
     * followed by the new ones.
     */
    List<RouterSample> takeOnce(long historyMillis) {
        List<RouterSample> samples = readStored(historyMillis);
        samples.addAll(take());
        return samples;
    }

    /** Takes samples every {@code period} for {@code duration}; returns the stored samples followed by the new ones. */
    List<RouterSample> takeFor(Duration duration, Duration period, long historyMillis) {
        List<RouterSample> samples = readStored(historyMillis);
        long endMillis = context.nowMillis() + duration.toMillis();
        samples.addAll(take());
        while (context.nowMillis() < endMillis) {
            long remainingMillis = endMillis - context.nowMillis();
            context.sleeper().sleep(Duration.ofMillis(Math.min(period.toMillis(), remainingMillis)));
            samples.addAll(takeIfReachable());
        }
        return samples;
    }

    private List<RouterSample> takeIfReachable() {
        try {
            return take();
        } catch (CliException failure) {
            if (failure.errorCode() != CliErrorCode.ROUTER_UNREACHABLE) {
                throw failure;
            }
            fleet.routers().forEach(router -> unreachable.add(router.address()));
            return List.of();
        }
    }

    /** Takes one sample of each router that answers, and stores it if there is a file. */
    List<RouterSample> take() {
        long nowMillis = context.nowMillis();
        RouterFleet.Answers<RouterSample> answers =
                fleet.all(router -> MetricsReader.read(nowMillis, router.address(), router.metrics()));
        unreachable.addAll(answers.unreachable());
        if (file != null) {
            file.append(answers.values());
        }
        return answers.values();
    }

    /** Returns the addresses of the routers that failed to answer at least once. */
    List<String> unreachable() {
        return List.copyOf(unreachable);
    }

    private List<RouterSample> readStored(long historyMillis) {
        if (file == null) {
            return new ArrayList<>();
        }
        long maxAgeMillis = historyMillis + historyMillis / 10;
        return new ArrayList<>(file.read(context.nowMillis() - maxAgeMillis));
    }
}
