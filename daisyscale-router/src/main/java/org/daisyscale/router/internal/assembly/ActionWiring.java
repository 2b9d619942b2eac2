package org.daisyscale.router.internal.assembly;

import java.util.Optional;
import org.daisyscale.core.Action;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.router.internal.duty.ActionRouter;
import org.daisyscale.router.internal.front.Rejections;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.operator.LatestConfiguration;
import org.daisyscale.router.internal.operator.OperatorRequests;
import org.daisyscale.router.internal.request.BackendAnswer;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.PendingRequests;

/** Assigns each kind of action to the duty that handles it. Immutable; used on the core thread. */
final class ActionWiring {
    private final RouterAssembly.Duties duties;
    private final PendingRequests pending;
    private final OperatorRequests operatorRequests;
    private final LatestConfiguration latestConfiguration;
    private final RouterMetrics metrics;
    private final StopSignal stopSignal;

    ActionWiring(
            RouterAssembly.Duties duties,
            PendingRequests pending,
            OperatorRequests operatorRequests,
            LatestConfiguration latestConfiguration,
            RouterMetrics metrics,
            StopSignal stopSignal) {
        this.duties = duties;
        this.pending = pending;
        this.operatorRequests = operatorRequests;
        this.latestConfiguration = latestConfiguration;
        this.metrics = metrics;
        this.stopSignal = stopSignal;
    }

    ActionRouter router() {
        ActionRouter.Builder builder = ActionRouter.builder();
        addCallers(builder);
        addBackend(builder);
        addPeersAndPlatform(builder);
        addOperators(builder);
        return builder.build();
    }

    private void addCallers(ActionRouter.Builder builder) {
        builder.onWithoutFollowUps(Action.ForwardAnswer.class, this::forward)
                .onWithoutFollowUps(Action.RefuseRequest.class, this::reject);
    }

    private void addBackend(ActionRouter.Builder builder) {
        builder.on(Action.SendOrder.class, duties.orders()::send)
                .onWithoutFollowUps(Action.CancelOrder.class, duties.orders()::cancel)
                .on(Action.ProbeServer.class, duties.control()::probe)
                .on(Action.SendGrant.class, duties.control()::grant);
    }

    private void addPeersAndPlatform(ActionRouter.Builder builder) {
        builder.onWithoutFollowUps(Action.SendPeer.class, duties.peers()::send)
                .onWithoutFollowUps(Action.KnowPeer.class, duties.peers()::updatePeer)
                .onWithoutFollowUps(Action.WriteMap.class, duties.platform()::handle)
                .onWithoutFollowUps(Action.ReadMap.class, duties.platform()::handle)
                .onWithoutFollowUps(Action.WriteConfiguration.class, duties.platform()::handle)
                .onWithoutFollowUps(Action.ReadConfiguration.class, duties.platform()::handle)
                .onWithoutFollowUps(Action.HoldControlLease.class, duties.platform()::handle)
                .onWithoutFollowUps(Action.ReleaseControlLease.class, duties.platform()::handle);
    }

    private void addOperators(ActionRouter.Builder builder) {
        builder.onWithoutFollowUps(Action.AnswerStatus.class, operatorRequests::answer)
                .onWithoutFollowUps(Action.AnswerProposal.class, operatorRequests::answer)
                .onWithoutFollowUps(Action.ConfigurationInForce.class, this::applyConfiguration)
                .onWithoutFollowUps(Action.Report.class, this::report)
                .onWithoutFollowUps(Action.InvariantBroken.class, this::invariantBroken)
                .onWithoutFollowUps(Action.StopNow.class, action -> stopSignal.done());
    }

    private void forward(Action.ForwardAnswer action) {
        Optional<BackendAnswer> answer =
                pending.find(action.requestId()).flatMap(request -> request.answer(action.orderId()));
        CallerReply reply = answer.map(complete -> reply(action, complete))
                .orElseGet(() -> Rejections.reply(
                        CoreErrorCode.INVARIANT_BROKEN, "the answer of the backend server was not stored"));
        pending.reply(action.requestId(), reply);
    }

    private static CallerReply reply(Action.ForwardAnswer action, BackendAnswer answer) {
        return CallerReply.answered(answer, action.service(), action.kind());
    }

    private void reject(Action.RefuseRequest action) {
        pending.reply(action.requestId(), Rejections.reply(action));
    }

    private void applyConfiguration(Action.ConfigurationInForce action) {
        latestConfiguration.update(action.configuration());
        metrics.applyConfiguration(action.configuration());
    }

    private void report(Action.Report action) {
        metrics.recordReport(action.name());
        EventLog.info(action.name(), action.detail());
    }

    private void invariantBroken(Action.InvariantBroken action) {
        metrics.recordInvariantViolation(action.promise());
        EventLog.error("invariant-broken", "promise=" + action.promise() + " " + action.detail());
        if (action.mustStop()) {
            stopSignal.fail("promise " + action.promise() + " was broken: " + action.detail());
        }
    }
}
