package org.daisyscale.cli.internal.command;

import org.daisyscale.cli.internal.output.OutputFormat;
import picocli.CommandLine.Option;

/** Options for the output format of a command. Set by picocli. */
final class OutputOptions {
    @Option(
            names = "--output",
            paramLabel = "text|json",
            defaultValue = "text",
            description = "Human-readable text, or one JSON value per line (default: ${DEFAULT-VALUE}).")
    private OutputFormat format;

    OutputFormat format() {
        return format;
    }
}
