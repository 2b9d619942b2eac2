package org.daisyscale.cli.internal.command;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.burn.BurnWindow;
import org.daisyscale.cli.internal.burn.RouterSample;
import org.daisyscale.cli.internal.burn.SampleFile;
import org.daisyscale.cli.internal.decision.DocumentDiff;
import org.daisyscale.cli.internal.decision.FieldChange;
import org.daisyscale.cli.internal.decision.PromotionGate;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.router.ConfigurationProposal;
import org.daisyscale.cli.internal.router.ConfigurationView;
import org.daisyscale.cli.internal.router.RouterFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Applies the document in force in trial to production. */
@Command(
        name = "promote",
        description = "Applies trial's document to production, byte for byte. Refused if trial broke an"
                + " invariant or missed an objective in the window, or can't be evaluated over the window;"
                + " --force --reason overrides this, and the history records both reasons.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  daisyscale document promote --trial-router http://10.0.0.1:9001 --router http://10.1.0.1:9001 \\",
            "      --window 1h --trial-samples trial.jsonl --wait",
            "  daisyscale document promote --window 30s --observe 30s --yes"
        })
final class DocumentPromoteCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Mixin
    private ChangeOptions change;

    @Option(
            names = "--trial-router",
            paramLabel = "URL",
            split = ",",
            defaultValue = "${env:DAISYSCALE_TRIAL_ROUTERS}",
            description = "Operator addresses of all of trial's routers (environment: DAISYSCALE_TRIAL_ROUTERS).")
    private List<String> trialAddresses;

    @Option(
            names = "--trial-operator-token-file",
            paramLabel = "FILE",
            defaultValue = "${env:DAISYSCALE_TRIAL_OPERATOR_TOKEN_FILE}",
            description = "File with trial's operator token (environment: DAISYSCALE_TRIAL_OPERATOR_TOKEN_FILE, or the"
                    + " token itself in DAISYSCALE_TRIAL_OPERATOR_TOKEN; default: production's token).")
    private Path trialTokenFile;

    @Option(
            names = "--trial-samples",
            paramLabel = "FILE",
            description = "Samples of trial written by 'daisyscale burn --samples'.")
    private Path trialSamples;

    @Option(
            names = "--window",
            paramLabel = "TIME",
            defaultValue = "10m",
            converter = DurationConverter.class,
            description = "The time over which trial is evaluated (default: ${DEFAULT-VALUE}).")
    private Duration window;

    @Option(
            names = "--observe",
            paramLabel = "TIME",
            converter = DurationConverter.class,
            description = "Sample trial for this long first; needed if no stored samples cover the window.")
    private Duration observation;

    DocumentPromoteCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        change.check();
        String trialToken = context.environment().get("DAISYSCALE_TRIAL_OPERATOR_TOKEN");
        try (RouterConnection trial = routers.openOthers(trialAddresses, trialTokenFile, trialToken);
                RouterConnection production = routers.open()) {
            ChangeResult result = promote(trial.fleet(), production.fleet());
            context.console().show(output.format(), result, List.of("revision " + result.revision()));
            return ExitCode.DONE;
        }
    }

    private ChangeResult promote(RouterFleet trial, RouterFleet production) {
        ConfigurationView trialView = trial.configuration();
        DocumentSource promoted = promotableDocument(trialView);
        ConfigurationView view = production.configuration();
        DocumentSource inForce = DocumentSource.parseInForce(context.console(), view.documentText());
        List<FieldChange> changes = DocumentDiff.between(inForce.document(), promoted.document());
        DiffFormatter.format(changes, inForce.text(), promoted.text()).forEach(context.console()::printNotice);
        if (inForce.text().equals(promoted.text())) {
            return new ChangeRunner(context, production, change).runWithoutChange(view.revision());
        }
        List<String> reasons = reasonsAgainst(trial, trialView);
        ConfigurationProposal proposal = new ConfigurationProposal(
                view.revision(),
                change.author(),
                historyReason(reasons),
                DiffFormatter.summary(changes) + ", promoted from trial's revision " + trialView.revision(),
                promoted.text(),
                null,
                null);
        String question = "Promote this document to production over revision %d?".formatted(view.revision());
        return new ChangeRunner(context, production, change).run(proposal, question);
    }

    private DocumentSource promotableDocument(ConfigurationView trialView) {
        if (trialView.documentText().isEmpty()) {
            throw new CliException(
                    CliErrorCode.PROMOTION_REFUSED, "trial has no document yet; apply one to trial first");
        }
        DocumentSource promoted = DocumentSource.parse(context.console(), "trial's document", trialView.documentText());
        if (!promoted.document().environment().isEmpty()) {
            throw new CliException(
                    CliErrorCode.PROMOTION_REFUSED,
                    "the document names the environment '%s'; apply it to trial without that line first"
                            .formatted(promoted.document().environment()));
        }
        return promoted;
    }

    private List<String> reasonsAgainst(RouterFleet trial, ConfigurationView trialView) {
        Sampler sampler = new Sampler(context, trial, trialSamples == null ? null : new SampleFile(trialSamples));
        BurnWindow burnWindow = BurnWindow.of(window.toSeconds() + "s", window);
        List<RouterSample> samples = observation == null
                ? sampler.takeOnce(burnWindow.lengthMillis())
                : sampler.takeFor(observation, observation, burnWindow.lengthMillis());
        List<String> reasons = new ArrayList<>(
                PromotionGate.reasonsAgainst(samples, burnWindow, trialView.history(), context.nowMillis()));
        sampler.unreachable().forEach(address -> reasons.add("no answer from trial's router " + address));
        if (!reasons.isEmpty() && !change.isForced()) {
            throw new CliException(CliErrorCode.PROMOTION_REFUSED, String.join("; ", reasons));
        }
        reasons.forEach(reason -> context.console().printNotice("overridden: " + reason));
        return reasons;
    }

    private String historyReason(List<String> overridden) {
        return overridden.isEmpty()
                ? change.reason()
                : "%s (forced although %s)".formatted(change.reason(), String.join("; ", overridden));
    }
}
