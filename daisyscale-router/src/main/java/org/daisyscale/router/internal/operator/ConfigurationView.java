package org.daisyscale.router.internal.operator;

import java.util.List;
import java.util.Set;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.ConfigurationChange;

/**
 * The body of the reply with the configuration in force. Immutable.
 *
 * @param revision the revision in force; 0 before the first configuration
 * @param writeId the id of the write that stored this revision
 * @param documentText the document's text
 * @param dataCentresOut the data centres taken out of service
 * @param serversDrained the servers drained
 * @param history the most recent changes, newest first
 */
record ConfigurationView(
        long revision,
        String writeId,
        String documentText,
        Set<String> dataCentresOut,
        Set<String> serversDrained,
        List<ConfigurationChange> history) {

    static ConfigurationView of(Configuration configuration) {
        return new ConfigurationView(
                configuration.revision(),
                configuration.writeId(),
                configuration.documentText(),
                configuration.dataCentresOut(),
                configuration.serversDrained(),
                configuration.history());
    }

    static ConfigurationView none() {
        return new ConfigurationView(0, "", "", Set.of(), Set.of(), List.of());
    }
}
