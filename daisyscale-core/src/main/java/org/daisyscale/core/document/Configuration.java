package org.daisyscale.core.document;

import java.util.List;
import java.util.Set;

/**
 * One accepted revision of an environment's configuration. It is stored as a single value in the platform's service and
 * changed by compare-and-swap on the revision that the operator read. Revisions never decrease. Immutable.
 *
 * @param revision the revision, which increases by one with each accepted change
 * @param writeId the unique id of the write, which tells after a lost answer whether the write was accepted
 * @param documentText the document's text, byte for byte as the operator sent it
 * @param document the parsed document
 * @param dataCentresOut the data centres that operators have taken out of service
 * @param serversDrained the backend servers that operators drain
 * @param history the newest changes, newest first, bounded by {@link #MAX_HISTORY}
 */
public record Configuration(
        long revision,
        String writeId,
        String documentText,
        EnvironmentDocument document,
        Set<String> dataCentresOut,
        Set<String> serversDrained,
        List<ConfigurationChange> history) {
    public static final int MAX_HISTORY = 50;

    public Configuration {
        dataCentresOut = Set.copyOf(dataCentresOut);
        serversDrained = Set.copyOf(serversDrained);
        history = List.copyOf(history);
    }
}
