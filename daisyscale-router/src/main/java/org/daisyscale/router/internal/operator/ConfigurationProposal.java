package org.daisyscale.router.internal.operator;

import java.util.Set;

/**
 * A change of the configuration proposed by an operator, with the fields of its JSON. A null field leaves the current
 * value unchanged. Immutable.
 *
 * @param baseRevision the revision that the operator read and bases the change on
 * @param author the operator who proposes the change
 * @param reason the reason for the change; may be null
 * @param summary a summary of the change
 * @param documentText the new document's text; null to keep the current one
 * @param dataCentresOut the data centres to take out of service; null to keep the current ones
 * @param serversDrained the servers to drain; null to keep the current ones
 */
public record ConfigurationProposal(
        long baseRevision,
        String author,
        String reason,
        String summary,
        String documentText,
        Set<String> dataCentresOut,
        Set<String> serversDrained) {}
