package org.daisyscale.router.internal.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.daisyscale.core.Action;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.router.internal.error.ShellErrorCode;

/**
 * Merges an operator's proposal into the current configuration, submits the result to the core, and turns the core's
 * decision into a reply. Safe for use by several threads.
 */
final class ProposalHandler {
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_CONFLICT_CHANGES = 5;

    private final DocumentParser documentParser;
    private final LatestConfiguration latestConfiguration;
    private final OperatorRequests requests;

    ProposalHandler(DocumentParser documentParser, LatestConfiguration latestConfiguration, OperatorRequests requests) {
        this.documentParser = documentParser;
        this.latestConfiguration = latestConfiguration;
        this.requests = requests;
    }

    CompletableFuture<OperatorReply> propose(ConfigurationProposal proposal) {
        Configuration base = latestConfiguration.get().orElse(null);
        long currentRevision = base == null ? 0 : base.revision();
        if (proposal.baseRevision() > currentRevision) {
            return CompletableFuture.completedFuture(unknownBaseRevision(currentRevision));
        }
        if (proposal.baseRevision() < currentRevision) {
            return CompletableFuture.completedFuture(conflict(currentRevision, ""));
        }
        if (proposal.documentText() == null) {
            return base == null ? CompletableFuture.completedFuture(noDocument()) : decide(base, proposal, null);
        }
        DocumentParser.ParsedDocument parsed = documentParser.parse(proposal.documentText());
        if (!parsed.problems().isEmpty()) {
            return CompletableFuture.completedFuture(invalid(parsed.problems()));
        }
        return decide(base, proposal, parsed.document());
    }

    private CompletableFuture<OperatorReply> decide(
            Configuration base, ConfigurationProposal proposal, EnvironmentDocument document) {
        Configuration next = ConfigurationMerge.merge(base, proposal, document, System.currentTimeMillis());
        return requests.requestStatus()
                .thenCompose(answer -> answer.status().isPlatformReachable()
                        ? requests.propose(next).thenApply(decision -> reply(proposal, decision))
                        : CompletableFuture.completedFuture(platformUnreachable()));
    }

    private static OperatorReply platformUnreachable() {
        String detail = "the platform's key-value service is unreachable; nothing was changed";
        return OperatorReply.problem(OperatorProblem.of(UNAVAILABLE, ShellErrorCode.PLATFORM_UNREACHABLE, detail));
    }

    private OperatorReply reply(ConfigurationProposal proposal, Action.AnswerProposal answer) {
        if (answer.isAccepted()) {
            return OperatorReply.json(new AcceptedRevision(answer.revision()));
        }
        if (answer.revision() != proposal.baseRevision()) {
            return conflict(answer.revision(), answer.detail());
        }
        return OperatorReply.problem(
                OperatorProblem.of(UNAVAILABLE, ShellErrorCode.PLATFORM_UNREACHABLE, answer.detail()));
    }

    private OperatorReply conflict(long currentRevision, String detail) {
        List<ConfigurationChange> newest =
                latestConfiguration.get().map(Configuration::history).orElse(List.of()).stream()
                        .limit(MAX_CONFLICT_CHANGES)
                        .toList();
        return OperatorReply.problem(OperatorProblem.of(CONFLICT, CoreErrorCode.CONFIGURATION_CONFLICT, detail)
                .withConflict(currentRevision, newest));
    }

    private static OperatorReply unknownBaseRevision(long currentRevision) {
        String detail = "the base revision is newer than the newest one known to this router, " + currentRevision;
        return OperatorReply.problem(OperatorProblem.of(UNAVAILABLE, ShellErrorCode.PLATFORM_UNREACHABLE, detail));
    }

    private static OperatorReply noDocument() {
        return invalid(List.of(new DocumentProblem(
                1, 1, "there is no configuration yet; the first proposal must have a documentText")));
    }

    private static OperatorReply invalid(List<DocumentProblem> problems) {
        return OperatorReply.problem(OperatorProblem.of(UNPROCESSABLE, CoreErrorCode.INVALID_DOCUMENT, "")
                .withProblems(problems));
    }

    /**
     * The body of the reply to an accepted proposal. Immutable.
     *
     * @param revision the revision now in force
     */
    record AcceptedRevision(long revision) {}
}
