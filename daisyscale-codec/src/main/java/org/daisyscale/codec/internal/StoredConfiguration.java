package org.daisyscale.codec.internal;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.document.EnvironmentDocument;

/**
 * Holds a {@link Configuration} as stored and sent: without the parsed document, which is derived from the text.
 * Immutable.
 *
 * @param revision the configuration's revision
 * @param writeId the unique id of the write
 * @param documentText the document's text
 * @param dataCentresOut the data centres that operators have taken out of service
 * @param serversDrained the backend servers that operators are draining
 * @param history the most recent changes, newest first
 */
record StoredConfiguration(
        long revision,
        String writeId,
        String documentText,
        Set<String> dataCentresOut,
        Set<String> serversDrained,
        List<ConfigurationChange> history) {

    static StoredConfiguration of(Configuration configuration) {
        return new StoredConfiguration(
                configuration.revision(),
                configuration.writeId(),
                configuration.documentText(),
                configuration.dataCentresOut(),
                configuration.serversDrained(),
                configuration.history());
    }

    Configuration toConfiguration(Function<String, EnvironmentDocument> documentParser) {
        return new Configuration(
                revision,
                writeId,
                documentText,
                documentParser.apply(documentText),
                dataCentresOut,
                serversDrained,
                history);
    }
}
