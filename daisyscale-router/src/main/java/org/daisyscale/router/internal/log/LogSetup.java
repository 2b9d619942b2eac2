package org.daisyscale.router.internal.log;

import java.util.HashMap;
import java.util.Map;
import org.tinylog.configuration.Configuration;

/** Configures the log of the process. Must be called before the first log line. */
public final class LogSetup {
    private static final String TEXT_FORMAT = "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}";

    private LogSetup() {}

    /**
     * Logs lines of {@code level} and above to the standard output in {@code format}. A separate thread writes them, so
     * that no duty blocks on the output. Has no effect after the first log line, which freezes the configuration.
     */
    public static void configure(LogFormat format, String level) {
        Map<String, String> properties = new HashMap<>();
        properties.put("level", level);
        properties.put("autoshutdown", "true");
        properties.put("writingthread", "true");
        if (format == LogFormat.JSON) {
            properties.put("writer", JsonLinesWriter.class.getName());
        } else {
            properties.put("writer", "console");
            properties.put("writer.stream", "out");
            properties.put("writer.format", TEXT_FORMAT);
        }
        if (!Configuration.isFrozen()) {
            Configuration.replace(properties);
        }
    }
}
