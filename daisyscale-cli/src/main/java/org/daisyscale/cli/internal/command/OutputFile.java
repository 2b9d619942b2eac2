package org.daisyscale.cli.internal.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;

/** Writes text files. Stateless and thread-safe. */
final class OutputFile {
    private OutputFile() {}

    /** Writes {@code text} to {@code file} and replaces its previous content. */
    static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException cause) {
            throw new CliException(
                    CliErrorCode.FILE_UNWRITABLE,
                    "%s: %s".formatted(file, cause.getClass().getSimpleName()),
                    cause);
        }
    }
}
