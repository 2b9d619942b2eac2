package org.daisyscale.cli.internal.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.decision.DocumentDiff;
import org.daisyscale.cli.internal.decision.FieldChange;
import org.daisyscale.cli.internal.router.ConfigurationProposal;
import org.daisyscale.cli.internal.router.ConfigurationView;
import org.daisyscale.cli.internal.router.RouterFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Applies a document, which puts it in force. */
@Command(
        name = "apply",
        description = "Shows the differences, asks for confirmation and applies the document by compare-and-swap on the"
                + " revision read. If that changed meanwhile, nothing is written and the newer changes are shown.",
        footerHeading = "%nExamples:%n",
        footer = "  daisyscale document apply trial.yaml --reason 'longer deadline for uploads' --wait")
final class DocumentApplyCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Mixin
    private ChangeOptions change;

    @Parameters(paramLabel = "FILE", description = "The document; - for standard input (then give --yes).")
    private String file;

    DocumentApplyCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        change.check();
        DocumentSource source = DocumentSource.read(context.console(), file);
        try (RouterConnection connection = routers.open()) {
            ChangeResult result = apply(connection.fleet(), source);
            context.console().show(output.format(), result, List.of("revision " + result.revision()));
            return ExitCode.DONE;
        }
    }

    private ChangeResult apply(RouterFleet fleet, DocumentSource source) {
        ConfigurationView view = fleet.configuration();
        DocumentSource inForce = DocumentSource.parseInForce(context.console(), view.documentText());
        List<FieldChange> changes = DocumentDiff.between(inForce.document(), source.document());
        DiffFormatter.format(changes, inForce.text(), source.text()).forEach(context.console()::printNotice);
        if (inForce.text().equals(source.text())) {
            return new ChangeRunner(context, fleet, change).runWithoutChange(view.revision());
        }
        ConfigurationProposal proposal = new ConfigurationProposal(
                view.revision(),
                change.author(),
                change.reason(),
                DiffFormatter.summary(changes),
                source.text(),
                null,
                null);
        String question = "Apply this document to revision %d?".formatted(view.revision());
        return new ChangeRunner(context, fleet, change).run(proposal, question);
    }
}
