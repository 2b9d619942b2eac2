package org.daisyscale.cli.internal.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.burn.BurnArithmetic;
import org.daisyscale.cli.internal.burn.BurnPage;
import org.daisyscale.cli.internal.burn.BurnReport;
import org.daisyscale.cli.internal.burn.BurnTimeline;
import org.daisyscale.cli.internal.burn.BurnWindow;
import org.daisyscale.cli.internal.burn.CountFrom;
import org.daisyscale.cli.internal.burn.RouterSample;
import org.daisyscale.cli.internal.burn.SampleFile;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Reports how fast each service and kind spends its error budget. */
@Command(
        name = "burn",
        description = "Reports the error budget burn of each service and kind: objective, good and bad requests,"
                + " budget left, and burn rates over 5 min, 1 h, 6 h and 3 days as far back as samples go."
                + " Routers store no history, so the windows are computed from samples that this command takes"
                + " and stores in a file. Name every router; needs no token.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  daisyscale burn --for 60s --every 5s --samples trial.jsonl",
            "  daisyscale burn --samples trial.jsonl --html burn.html"
        })
final class BurnCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Option(
            names = "--for",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            description = "Take samples for this long before reporting (default: take a single sample).")
    private Duration duration;

    @Option(
            names = "--every",
            paramLabel = "TIME",
            defaultValue = "5s",
            converter = DurationConverter.class,
            description = "Time between samples (default: ${DEFAULT-VALUE}).")
    private Duration period;

    @Option(
            names = "--samples",
            paramLabel = "FILE",
            description = "Append the samples to this file and include the samples it already contains.")
    private Path samplesFile;

    @Option(names = "--html", paramLabel = "FILE", description = "Also write a self-contained HTML page with plots.")
    private Path pageFile;

    BurnCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        DurationConverter.checkPeriod(period);
        try (RouterConnection connection = routers.openWithoutToken()) {
            SampleFile file = samplesFile == null ? null : new SampleFile(samplesFile);
            Sampler sampler = new Sampler(context, connection.fleet(), file);
            List<BurnWindow> windows = BurnWindow.standard();
            long historyMillis = windows.get(windows.size() - 1).lengthMillis();
            List<RouterSample> samples = duration == null
                    ? sampler.takeOnce(historyMillis)
                    : sampler.takeFor(duration, period, historyMillis);
            BurnReport report = BurnArithmetic.report(samples, windows, CountFrom.PROCESS_START);
            if (report.kinds().isEmpty()) {
                throw new CliException(
                        CliErrorCode.NO_DATA, "no router reports metrics of a request kind with an objective");
            }
            show(report, samples, sampler.unreachable());
            return ExitCode.DONE;
        }
    }

    private void show(BurnReport report, List<RouterSample> samples, List<String> unreachable) {
        unreachable.forEach(
                address -> context.console().printNotice("%s failed to answer at least once".formatted(address)));
        context.console().show(output.format(), report, BurnFormatter.format(report));
        if (pageFile != null) {
            OutputFile.write(pageFile, BurnPage.render(report, BurnTimeline.of(samples), unreachable));
        }
    }
}
