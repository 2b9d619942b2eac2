package org.daisyscale.router.internal.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.document.EnvironmentDocument;

/** Builds the next configuration from the one in force and a proposal. Stateless. */
final class ConfigurationMerge {

    private ConfigurationMerge() {}

    /**
     * Returns {@code base} with the changes of {@code proposal}, one revision later.
     *
     * @param base the configuration in force; null before the first one
     * @param document the proposal's parsed document; null when the proposal keeps the document of {@code base}
     */
    static Configuration merge(
            Configuration base, ConfigurationProposal proposal, EnvironmentDocument document, long nowEpochMillis) {
        long revision = proposal.baseRevision() + 1;
        return new Configuration(
                revision,
                UUID.randomUUID().toString(),
                document == null ? base.documentText() : proposal.documentText(),
                document == null ? base.document() : document,
                proposedOrCurrent(proposal.dataCentresOut(), base == null ? Set.of() : base.dataCentresOut()),
                proposedOrCurrent(proposal.serversDrained(), base == null ? Set.of() : base.serversDrained()),
                history(
                        base,
                        new ConfigurationChange(
                                revision,
                                orEmpty(proposal.author()),
                                orEmpty(proposal.summary()),
                                orEmpty(proposal.reason()),
                                nowEpochMillis)));
    }

    private static Set<String> proposedOrCurrent(Set<String> proposed, Set<String> current) {
        return proposed == null ? current : proposed;
    }

    private static String orEmpty(String value) {
        return Optional.ofNullable(value).orElse("");
    }

    private static List<ConfigurationChange> history(Configuration base, ConfigurationChange newest) {
        List<ConfigurationChange> history = new ArrayList<>();
        history.add(newest);
        if (base != null) {
            history.addAll(base.history());
        }
        return history.subList(0, Math.min(history.size(), Configuration.MAX_HISTORY));
    }
}
