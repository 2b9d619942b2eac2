package org.daisyscale.router.internal.log;

import com.google.common.base.Throwables;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.daisyscale.router.internal.json.Json;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one line of JSON with the fields time, level, event, requestId, message and error; event,
 * requestId and error only if the entry has them. Safe for use by several threads. tinylog instantiates it by its class
 * name.
 */
public final class JsonLinesWriter implements Writer {
    private static final Pattern EVENT = Pattern.compile("^([a-z][a-z0-9-]*)(?: |$)");
    private static final Pattern REQUEST_ID = Pattern.compile("\\brequestId=(\\S+)");

    private final PrintStream output;

    /** Creates a writer to the standard output; tinylog requires the parameter {@code properties}, which is unused. */
    public JsonLinesWriter(Map<String, String> properties) {
        this(System.out);
    }

    JsonLinesWriter(PrintStream output) {
        this.output = output;
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public synchronized void write(LogEntry entry) {
        byte[] line = line(entry);
        output.write(line, 0, line.length);
        output.flush();
    }

    private static byte[] line(LogEntry entry) {
        String message = Optional.ofNullable(entry.getMessage()).orElse("");
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("time", entry.getTimestamp().toInstant().toString());
        fields.put("level", entry.getLevel().name());
        putFirstGroup(fields, "event", EVENT.matcher(message));
        putFirstGroup(fields, "requestId", REQUEST_ID.matcher(message));
        fields.put("message", message);
        if (entry.getException() != null) {
            fields.put("error", Throwables.getStackTraceAsString(entry.getException()));
        }
        return (new String(Json.write(fields), StandardCharsets.UTF_8) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static void putFirstGroup(Map<String, String> fields, String name, Matcher matcher) {
        if (matcher.find()) {
            fields.put(name, matcher.group(1));
        }
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        output.flush();
    }
}
