package org.daisyscale.cli.internal.burn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the Prometheus text format. Stateless and thread-safe. */
final class MetricsText {
    private static final Pattern LINE =
            Pattern.compile("([a-zA-Z_:][a-zA-Z0-9_:]*)(\\{(.*)})?[ \\t]+(\\S+)([ \\t]+\\S+)?[ \\t]*");
    private static final Pattern LABEL =
            Pattern.compile("([a-zA-Z_][a-zA-Z0-9_]*)[ \\t]*=[ \\t]*\"((?:[^\"\\\\]|\\\\.)*+)\"");

    private MetricsText() {}

    /**
     * One measured value. Immutable.
     *
     * @param name the metric's name
     * @param labels its labels
     * @param value its value
     */
    record Measurement(String name, Map<String, String> labels, double value) {

        String label(String label) {
            return labels.getOrDefault(label, "");
        }
    }

    /** Returns the measurements whose name starts with {@code prefix}; skips malformed lines. */
    static List<Measurement> read(String text, String prefix) {
        List<Measurement> measurements = new ArrayList<>();
        text.lines().filter(line -> line.startsWith(prefix)).forEach(line -> add(measurements, line));
        return measurements;
    }

    private static void add(List<Measurement> measurements, String line) {
        Matcher matcher = LINE.matcher(line);
        if (!matcher.matches()) {
            return;
        }
        try {
            double value = Double.parseDouble(matcher.group(4).replace("Inf", "Infinity"));
            measurements.add(new Measurement(matcher.group(1), labels(matcher.group(3)), value));
        } catch (NumberFormatException notANumber) {
            // Skips a line whose value is not a number.
        }
    }

    private static Map<String, String> labels(String text) {
        Map<String, String> labels = new HashMap<>();
        Matcher matcher = LABEL.matcher(text == null ? "" : text);
        while (matcher.find()) {
            labels.put(matcher.group(1), unescape(matcher.group(2)));
        }
        return labels;
    }

    private static String unescape(String text) {
        StringBuilder unescaped = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character != '\\') {
                unescaped.append(character);
                continue;
            }
            i++;
            unescaped.append(text.charAt(i) == 'n' ? '\n' : text.charAt(i));
        }
        return unescaped.toString();
    }
}
