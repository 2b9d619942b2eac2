package org.daisyscale.cli.internal.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.decision.DocumentDiff;
import org.daisyscale.cli.internal.decision.FieldChange;
import org.daisyscale.cli.internal.router.ConfigurationView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Compares a document with the one in force. */
@Command(
        name = "diff",
        description = "Shows what applying a document would change, defaults included. Changes nothing.",
        footerHeading = "%nExamples:%n",
        footer = "  daisyscale document diff trial.yaml --router http://10.0.0.1:9001")
final class DocumentDiffCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Parameters(paramLabel = "FILE", description = "The document; - for standard input.")
    private String file;

    DocumentDiffCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        DocumentSource source = DocumentSource.read(context.console(), file);
        try (RouterConnection connection = routers.open()) {
            ConfigurationView view = connection.fleet().configuration();
            DocumentSource inForce = DocumentSource.parseInForce(context.console(), view.documentText());
            List<FieldChange> changes = DocumentDiff.between(inForce.document(), source.document());
            context.console()
                    .show(output.format(), changes, DiffFormatter.format(changes, inForce.text(), source.text()));
            return ExitCode.DONE;
        }
    }
}
