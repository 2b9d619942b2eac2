package org.daisyscale.cli.internal.router;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.daisyscale.core.document.ConfigurationChange;

/**
 * The configuration as a router reports it. Immutable.
 *
 * @param revision the revision; 0 before the first change
 * @param documentText the document exactly as it was submitted; empty before the first change
 * @param dataCentresOut the data centres that operators have taken out of service
 * @param serversDrained the backend servers that operators are draining
 * @param history the newest changes, newest first
 */
public record ConfigurationView(
        long revision,
        String documentText,
        Set<String> dataCentresOut,
        Set<String> serversDrained,
        List<ConfigurationChange> history) {

    public ConfigurationView {
        documentText = Objects.requireNonNullElse(documentText, "");
        dataCentresOut = new TreeSet<>(Objects.requireNonNullElse(dataCentresOut, Set.of()));
        serversDrained = new TreeSet<>(Objects.requireNonNullElse(serversDrained, Set.of()));
        history = List.copyOf(Objects.requireNonNullElse(history, List.of()));
    }
}
