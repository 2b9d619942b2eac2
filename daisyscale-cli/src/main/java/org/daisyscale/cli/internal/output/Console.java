package org.daisyscale.cli.internal.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;

/**
 * The operator's terminal. Prints results to {@code out} and questions and progress to {@code err}. Replaces control
 * characters other than line feeds by question marks, except in JSON and in verbatim output. Not thread-safe.
 *
 * @param out the writer for results
 * @param err the writer for questions, progress and errors
 * @param in the reader of answers
 */
public record Console(PrintWriter out, PrintWriter err, BufferedReader in) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Prints a result: {@code value} as JSON, or {@code lines} as text. */
    public void show(OutputFormat format, Object value, List<String> lines) {
        if (format == OutputFormat.JSON) {
            out.println(json(value));
        } else {
            lines.forEach(line -> out.println(printable(line)));
        }
        out.flush();
    }

    /** Prints {@code text} unchanged. */
    public void showVerbatim(String text) {
        out.print(text);
        out.flush();
    }

    /** Prints a line of progress or a warning to {@code err}. */
    public void printNotice(String line) {
        err.println(printable(line));
        err.flush();
    }

    /** Asks a question; returns whether the answer is yes. Any other answer and the end of input count as no. */
    public boolean confirm(String question) {
        err.print(printable(question) + " [y/N] ");
        err.flush();
        try {
            String answer = in.readLine();
            return answer != null && List.of("y", "yes").contains(answer.strip().toLowerCase(Locale.ROOT));
        } catch (IOException cause) {
            throw new CliException(
                    CliErrorCode.FILE_UNREADABLE, "the standard input can't be read as UTF-8 text", cause);
        }
    }

    private static String json(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException("failed to serialise a result", cause);
        }
    }

    private static String printable(String text) {
        return text.replaceAll("[\\p{Cntrl}&&[^\\n]]", "?");
    }
}
