package org.daisyscale.core.document;

import com.google.common.base.Splitter;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * A path of literal segments and variables in braces, such as {@code /slots/{key}}. A variable matches one complete
 * segment. Immutable.
 *
 * @param segments the segments between the slashes
 */
public record PathTemplate(List<String> segments) {
    private static final Pattern VALID =
            Pattern.compile("/|(/(\\{[A-Za-z][A-Za-z0-9_-]*}|[A-Za-z0-9._~!$&'()*+,;=:@%-]+))+");
    private static final Splitter SLASH = Splitter.on('/');

    public PathTemplate {
        segments = List.copyOf(segments);
    }

    /** Returns whether {@code text} is a valid template of at most {@link DocumentRanges#MAX_PATH_CHARS} characters. */
    public static boolean isValid(String text) {
        return text.length() <= DocumentRanges.MAX_PATH_CHARS
                && VALID.matcher(text).matches();
    }

    /** Parses {@code text}, which must be {@linkplain #isValid valid}. */
    public static PathTemplate of(String text) {
        return new PathTemplate(SLASH.splitToList(text.substring(1)));
    }

    /** Returns the names of the variables, in order. */
    public List<String> variables() {
        return segments.stream()
                .filter(PathTemplate::isVariable)
                .map(segment -> segment.substring(1, segment.length() - 1))
                .toList();
    }

    /**
     * Returns the values of the variables if {@code path} matches; a variable matches one complete, non-empty segment.
     */
    public Optional<Map<String, String>> match(String path) {
        List<String> pathSegments = SLASH.splitToList(path.startsWith("/") ? path.substring(1) : path);
        if (pathSegments.size() != segments.size()) {
            return Optional.empty();
        }
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < pathSegments.size(); i++) {
            if (!matchSegment(segments.get(i), pathSegments.get(i), values)) {
                return Optional.empty();
            }
        }
        return Optional.of(values);
    }

    private static boolean matchSegment(String segment, String pathSegment, Map<String, String> values) {
        if (!isVariable(segment)) {
            return segment.equals(pathSegment);
        }
        values.put(segment.substring(1, segment.length() - 1), pathSegment);
        return !pathSegment.isEmpty();
    }

    /** Returns whether some path matches both templates and neither template is more specific than the other. */
    public boolean collidesWith(PathTemplate other) {
        return overlaps(other) && isAsSpecificAs(other) == other.isAsSpecificAs(this);
    }

    private boolean overlaps(PathTemplate other) {
        if (segments.size() != other.segments.size()) {
            return false;
        }
        for (int i = 0; i < segments.size(); i++) {
            if (!segmentsOverlap(segments.get(i), other.segments.get(i))) {
                return false;
            }
        }
        return true;
    }

    private boolean isAsSpecificAs(PathTemplate other) {
        for (int i = 0; i < segments.size(); i++) {
            if (isVariable(segments.get(i)) && !isVariable(other.segments.get(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean segmentsOverlap(String one, String other) {
        return isVariable(one) || isVariable(other) || one.equals(other);
    }

    private static boolean isVariable(String segment) {
        return segment.startsWith("{");
    }
}
