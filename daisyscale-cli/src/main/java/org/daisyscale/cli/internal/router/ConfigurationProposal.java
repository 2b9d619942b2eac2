package org.daisyscale.cli.internal.router;

import java.util.Set;

/**
 * A configuration change, applied by compare-and-swap. A null component leaves its value unchanged. Immutable.
 *
 * @param baseRevision the revision that the operator read
 * @param author the operator who proposes the change
 * @param reason the reason for the change; empty if none was given
 * @param summary the change in one line
 * @param documentText the new document, or null
 * @param dataCentresOut the new set of data centres that are out, or null
 * @param serversDrained the new set of drained backend servers, or null
 */
public record ConfigurationProposal(
        long baseRevision,
        String author,
        String reason,
        String summary,
        String documentText,
        Set<String> dataCentresOut,
        Set<String> serversDrained) {

    /** Returns whether the newest change in {@code view} is this proposal. */
    public boolean isNewestOf(ConfigurationView view) {
        return view.revision() == baseRevision + 1
                && view.history().stream()
                        .anyMatch(change -> change.revision() == view.revision()
                                && change.author().equals(author)
                                && change.summary().equals(summary)
                                && change.reason().equals(reason))
                && isUnchangedOr(documentText, view.documentText())
                && isUnchangedOr(dataCentresOut, view.dataCentresOut())
                && isUnchangedOr(serversDrained, view.serversDrained());
    }

    private static boolean isUnchangedOr(Object proposed, Object actual) {
        return proposed == null || proposed.equals(actual);
    }
}
