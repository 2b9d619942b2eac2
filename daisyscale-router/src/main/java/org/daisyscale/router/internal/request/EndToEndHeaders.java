package org.daisyscale.router.internal.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the headers that the router forwards: all but hop-by-hop headers and those that daisyscale sets itself.
 * Stateless.
 */
public final class EndToEndHeaders {
    private static final Set<String> NEVER_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length",
            "daisyscale-order-id",
            "daisyscale-key-hash",
            "daisyscale-epoch",
            "daisyscale-deadline",
            "daisyscale-not-run",
            "daisyscale-outcome");

    private EndToEndHeaders() {}

    /** Returns the headers of {@code entries} that the router forwards, in order. */
    public static List<HeaderField> pick(Iterable<Map.Entry<String, String>> entries) {
        Set<String> dropped = new HashSet<>(NEVER_FORWARDED);
        entries.forEach(entry -> addNamedByConnection(entry, dropped));
        List<HeaderField> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> entry : entries) {
            if (!dropped.contains(lowerCase(entry.getKey()))) {
                forwarded.add(new HeaderField(entry.getKey(), entry.getValue()));
            }
        }
        return forwarded;
    }

    private static void addNamedByConnection(Map.Entry<String, String> entry, Set<String> dropped) {
        if (lowerCase(entry.getKey()).equals("connection")) {
            for (String name : entry.getValue().split(",", -1)) {
                dropped.add(lowerCase(name.strip()));
            }
        }
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
