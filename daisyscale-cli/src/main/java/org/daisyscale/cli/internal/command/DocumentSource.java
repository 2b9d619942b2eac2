package org.daisyscale.cli.internal.command;

import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import org.daisyscale.cli.internal.decision.DocumentDiff;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.output.Console;
import org.daisyscale.codec.document.DocumentException;
import org.daisyscale.codec.document.DocumentReader;
import org.daisyscale.core.document.EnvironmentDocument;

/**
 * The text of a document together with its parsed form. Immutable.
 *
 * @param text the text, unchanged
 * @param document the parsed document
 */
record DocumentSource(String text, EnvironmentDocument document) {
    private static final String STANDARD_INPUT = "-";

    /** Reads {@code file}, or standard input if it is {@code -}; prints each problem on a line of its own. */
    static DocumentSource read(Console console, String file) {
        return STANDARD_INPUT.equals(file)
                ? parse(console, "standard input", standardInput(console))
                : parse(console, file, InputFile.read(path(file), DocumentReader.MAX_TEXT_BYTES));
    }

    private static Path path(String file) {
        try {
            return Path.of(file);
        } catch (InvalidPathException cause) {
            throw new CliException(CliErrorCode.FILE_UNREADABLE, "the file name is not a valid path; check it", cause);
        }
    }

    /** Parses {@code text} read from {@code name}; an empty text is the empty document. */
    static DocumentSource parse(Console console, String name, String text) {
        try {
            return new DocumentSource(text, new DocumentReader().read(text));
        } catch (DocumentException invalid) {
            invalid.problems()
                    .forEach(problem -> console.printNotice(
                            "%s:%d:%d: %s".formatted(name, problem.line(), problem.column(), problem.message())));
            int count = invalid.problems().size();
            throw new CliException(
                    CliErrorCode.DOCUMENT_REFUSED, "%s has %d problem%s".formatted(name, count, count == 1 ? "" : "s"));
        }
    }

    /**
     * Parses the document in force. The parsed form is empty if no document was applied yet, and if this release can't
     * read the document, which is reported on the console.
     */
    static DocumentSource parseInForce(Console console, String text) {
        if (text.isEmpty()) {
            return new DocumentSource("", DocumentDiff.emptyDocument());
        }
        try {
            return new DocumentSource(text, new DocumentReader().read(text));
        } catch (DocumentException invalid) {
            console.printNotice("this release can't read the document in force, so every field is shown as added: "
                    + invalid.problems().get(0));
            return new DocumentSource(text, DocumentDiff.emptyDocument());
        }
    }

    private static String standardInput(Console console) {
        char[] buffer = new char[DocumentReader.MAX_TEXT_BYTES + 1];
        int length = 0;
        try {
            int read = console.in().read(buffer, 0, buffer.length);
            while (read > 0) {
                length += read;
                read = console.in().read(buffer, length, buffer.length - length);
            }
        } catch (IOException cause) {
            throw new CliException(CliErrorCode.FILE_UNREADABLE, "standard input can't be read as UTF-8 text", cause);
        }
        return String.valueOf(buffer, 0, length);
    }

    /** Returns a line for each service with its ownership and its numbers of jobs and kinds. */
    List<String> summary() {
        return document.services().stream()
                .map(service -> "%s: %s, %d jobs, %d kinds"
                        .formatted(
                                service.name(),
                                service.isExclusive() ? "exclusive" : "pooled",
                                service.jobs().size(),
                                service.kinds().size()))
                .toList();
    }
}
