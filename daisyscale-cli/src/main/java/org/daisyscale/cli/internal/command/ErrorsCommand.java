package org.daisyscale.cli.internal.command;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.output.TextTable;
import org.daisyscale.codec.document.DocumentErrorCode;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.error.ErrorCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Lists the error codes. */
@Command(
        name = "errors",
        description = "Lists the error codes of the core, the document and the command line; docs/ERRORS.md lists all.",
        footerHeading = "%nExamples:%n",
        footer = "  daisyscale errors --output json")
final class ErrorsCommand implements Callable<Integer> {
    private final CliContext context;

    @Mixin
    private OutputOptions output;

    ErrorsCommand(CliContext context) {
        this.context = context;
    }

    /** A row of the list of error codes. */
    private record CodeRow(String code, String summary, String remedy) {}

    @Override
    public Integer call() {
        List<CodeRow> rows = Stream.<ErrorCode[]>of(
                        CoreErrorCode.values(), DocumentErrorCode.values(), CliErrorCode.values())
                .flatMap(Stream::of)
                .map(code -> new CodeRow(code.code(), code.summary(), code.remedy()))
                .toList();
        TextTable table = new TextTable("CODE", "WHAT HAPPENED", "WHAT TO DO");
        rows.forEach(row -> table.add(row.code(), row.summary(), row.remedy()));
        context.console().show(output.format(), rows, table.lines());
        return ExitCode.DONE;
    }
}
