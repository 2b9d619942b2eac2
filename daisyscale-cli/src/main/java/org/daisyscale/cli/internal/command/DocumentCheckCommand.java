package org.daisyscale.cli.internal.command;

import java.util.concurrent.Callable;
import org.daisyscale.codec.document.DocumentWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Validates a document locally, without a router. */
@Command(
        name = "check",
        description = "Checks a document and lists every problem with its line and column. Needs no router.",
        footerHeading = "%nExamples:%n",
        footer = {"  daisyscale document check trial.yaml", "  daisyscale document check --effective trial.yaml"})
final class DocumentCheckCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    @Parameters(paramLabel = "FILE", description = "The document; - for standard input.")
    private String file;

    @Option(names = "--effective", description = "Print the document with all defaults written out.")
    private boolean isEffective;

    DocumentCheckCommand(CliContext context) {
        this.context = context;
    }

    @Override
    public Integer call() {
        DocumentSource source = DocumentSource.read(context.console(), file);
        if (isEffective) {
            context.console().showVerbatim(new DocumentWriter().write(source.document()));
        } else {
            context.console().show(output.format(), source.document(), source.summary());
        }
        return ExitCode.DONE;
    }
}
