package org.daisyscale.cli.internal.command;

import java.time.Duration;
import java.util.List;
import org.daisyscale.cli.internal.decision.RolloutProgress;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.cli.internal.router.ConfigurationProposal;
import org.daisyscale.cli.internal.router.RouterFleet;

/** Asks for confirmation of a change, proposes it and waits until it is in force. Not thread-safe. */
final class ChangeRunner {
    private static final Duration POLL_PERIOD = Duration.ofMillis(200);

    private final CliContext context;
    private final RouterFleet fleet;
    private final ChangeOptions options;

    ChangeRunner(CliContext context, RouterFleet fleet, ChangeOptions options) {
        this.context = context;
        this.fleet = fleet;
        this.options = options;
    }

    /** Asks {@code question}, then proposes {@code proposal} and, with --wait, waits until it is in force. */
    ChangeResult run(ConfigurationProposal proposal, String question) {
        if (!options.isConfirmed() && !context.console().confirm(question)) {
            throw new CliException(CliErrorCode.NOT_CONFIRMED, proposal.summary());
        }
        long revision = fleet.propose(proposal);
        context.console().printNotice("accepted as revision " + revision);
        return awaitIfRequested(revision, true);
    }

    /** Writes nothing, as {@code revision} already contains the change, but still waits for it with --wait. */
    ChangeResult runWithoutChange(long revision) {
        return awaitIfRequested(revision, false);
    }

    private ChangeResult awaitIfRequested(long revision, boolean isChanged) {
        if (!options.isAwaited()) {
            return new ChangeResult(revision, isChanged, List.of(), List.of());
        }
        RolloutProgress progress = awaitInForce(revision);
        return new ChangeResult(revision, isChanged, progress.inForce(), progress.unheard());
    }

    private RolloutProgress awaitInForce(long revision) {
        long deadlineMillis = context.nowMillis() + options.waitLimit().toMillis();
        RolloutProgress progress = poll(revision, new RolloutProgress(revision, List.of(), List.of(), List.of()));
        while (!progress.isDone()) {
            if (context.nowMillis() >= deadlineMillis) {
                throw new CliException(CliErrorCode.NOT_IN_FORCE, progress.describe());
            }
            context.sleeper().sleep(POLL_PERIOD);
            progress = poll(revision, progress);
        }
        return progress;
    }

    private RolloutProgress poll(long revision, RolloutProgress previous) {
        try {
            RolloutProgress progress =
                    RolloutProgress.of(revision, fleet.statuses().values());
            if (!progress.equals(previous)) {
                context.console().printNotice(progress.describe());
            }
            return progress;
        } catch (CliException failure) {
            if (failure.errorCode() != CliErrorCode.ROUTER_UNREACHABLE) {
                throw failure;
            }
            return previous;
        }
    }
}
