package org.daisyscale.router.internal.front;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;

/**
 * The target of a caller's request: {@code /{jobName}/{rest}?query}. Immutable.
 *
 * @param jobName the first segment of the path
 * @param path the rest of the path as sent, starting with a slash
 * @param rawQuery the query as sent, without the question mark; empty if there is none
 */
record CallerTarget(String jobName, String path, String rawQuery) {

    /** Parses {@code rawUri}; returns empty if it is malformed. */
    static Optional<CallerTarget> parse(String rawUri) {
        if (!rawUri.startsWith("/") || !isUri(rawUri)) {
            return Optional.empty();
        }
        int question = rawUri.indexOf('?');
        String rawPath = question < 0 ? rawUri : rawUri.substring(0, question);
        String rawQuery = question < 0 ? "" : rawUri.substring(question + 1);
        int slash = rawPath.indexOf('/', 1);
        String jobName = slash < 0 ? rawPath.substring(1) : rawPath.substring(1, slash);
        String path = slash < 0 ? "/" : rawPath.substring(slash);
        return jobName.isEmpty() ? Optional.empty() : Optional.of(new CallerTarget(jobName, path, rawQuery));
    }

    private static boolean isUri(String rawUri) {
        try {
            return new URI("http://server" + rawUri).getRawFragment() == null;
        } catch (URISyntaxException e) {
            return false;
        }
    }
}
