package org.daisyscale.router.internal.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Validates values of settings and collects every mistake with the accepted values. Not thread-safe. */
final class SettingsCheck {
    private final List<String> mistakes = new ArrayList<>();

    List<String> mistakes() {
        return mistakes;
    }

    void addMistake(String mistake) {
        mistakes.add(mistake);
    }

    int intWithin(String flag, long value, int min, int max) {
        return (int) longWithin(flag, value, min, max);
    }

    long longWithin(String flag, long value, long min, long max) {
        if (value < min || value > max) {
            addMistake("%s is %d; accepted: %d to %d".formatted(flag, value, min, max));
            return min;
        }
        return value;
    }

    String notEmpty(String flag, String value) {
        if (value.isBlank()) {
            addMistake(flag + " is missing; accepted: a non-empty text");
        }
        return value;
    }

    <T> T oneOf(String flag, String value, Map<String, T> valueByName) {
        T chosen = valueByName.get(value.toLowerCase(Locale.ROOT));
        if (chosen == null) {
            String accepted = valueByName.keySet().stream().sorted().collect(Collectors.joining(", "));
            addMistake("%s is %s; accepted: %s".formatted(flag, value, accepted));
        }
        return chosen;
    }

    String httpUrl(String flag, String value) {
        if (!isHttpUrl(value)) {
            addMistake("%s is '%s'; accepted: an http URL with a host".formatted(flag, value));
        }
        return value;
    }

    private static boolean isHttpUrl(String value) {
        try {
            URI uri = new URI(value);
            return "http".equals(uri.getScheme()) && uri.getHost() != null;
        } catch (URISyntaxException e) {
            return false;
        }
    }

    void requireBelow(String smallerFlag, long smaller, String largerFlag, long larger) {
        if (smaller >= larger) {
            addMistake("%s is %d; accepted: less than %s, which is %d"
                    .formatted(smallerFlag, smaller, largerFlag, larger));
        }
    }

    void requireAtMost(String smallerFlag, long smaller, String largerFlag, long larger) {
        if (smaller > larger) {
            addMistake(
                    "%s is %d; accepted: at most %s, which is %d".formatted(smallerFlag, smaller, largerFlag, larger));
        }
    }
}
