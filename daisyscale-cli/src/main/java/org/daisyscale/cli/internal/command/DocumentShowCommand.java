package org.daisyscale.cli.internal.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.daisyscale.cli.internal.output.OutputFormat;
import org.daisyscale.cli.internal.router.ConfigurationView;
import org.daisyscale.codec.document.DocumentWriter;
import org.daisyscale.core.document.EnvironmentDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the document in force. */
@Command(
        name = "show",
        description = "Prints the document in force, byte for byte as it was applied.",
        footerHeading = "%nExamples:%n",
        footer = {"  daisyscale document show > trial.yaml", "  daisyscale document show --effective"})
final class DocumentShowCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Mixin
    private RouterOptions routers;

    @Option(names = "--effective", description = "Write out all defaults.")
    private boolean isEffective;

    DocumentShowCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        try (RouterConnection connection = routers.open()) {
            ConfigurationView view = connection.fleet().configuration();
            if (isEffective) {
                showEffective(view);
            } else if (output.format() == OutputFormat.JSON) {
                context.console().show(OutputFormat.JSON, view, List.of());
            } else {
                context.console().showVerbatim(view.documentText());
            }
            return ExitCode.DONE;
        }
    }

    private void showEffective(ConfigurationView view) {
        EnvironmentDocument document = DocumentSource.parse(
                        context.console(), "the document in force", view.documentText())
                .document();
        if (output.format() == OutputFormat.JSON) {
            context.console().show(OutputFormat.JSON, document, List.of());
        } else {
            context.console().showVerbatim(new DocumentWriter().write(document));
        }
    }
}
