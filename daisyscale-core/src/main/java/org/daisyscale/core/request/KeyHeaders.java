package org.daisyscale.core.request;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * The headers of a request that a document's key rule may refer to. Names are in lower case. Immutable.
 *
 * @param valueByName the header values by lower-case name
 */
public record KeyHeaders(Map<String, String> valueByName) {

    public KeyHeaders {
        valueByName = Map.copyOf(valueByName);
    }

    /** Returns an instance without headers. */
    public static KeyHeaders none() {
        return new KeyHeaders(Map.of());
    }

    /** Returns the value of the header {@code name}, which is matched case-insensitively. */
    public Optional<String> value(String name) {
        return Optional.ofNullable(valueByName.get(name.toLowerCase(Locale.ROOT)));
    }
}
