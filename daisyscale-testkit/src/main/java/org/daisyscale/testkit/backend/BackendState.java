package org.daisyscale.testkit.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.UUID;
import org.daisyscale.core.Moment;
import org.daisyscale.core.membership.ServerStatus;
import org.daisyscale.core.ownership.Grant;

/**
 * A backend server's decisions without input or output: orders, grants and cancellations in, verdicts and ended runs
 * out, with the time passed in. It never runs more than its slots. Not safe for use by several threads.
 */
final class BackendState {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BackendSettings settings;
    private final SplittableRandom random;
    private final long startNanos;
    private final Map<Long, Running> running = new HashMap<>();
    private final PriorityQueue<Running> dueOrder =
            new PriorityQueue<>((left, right) -> Long.compare(left.dueNanos() - right.dueNanos(), 0));
    private final CounterBook counters = new CounterBook();
    private GrantBook grants = new GrantBook();
    private String incarnation = newIncarnation();
    private int answeredInThisLife;
    private long downUntilNanos;
    private boolean isDown;
    private boolean isDraining;
    private double slowFactor = 1;
    private long lastTicket;
    private int reportedRunning;
    private long reportedNanos;

    BackendState(BackendSettings settings, Moment now) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        this.startNanos = now.nanos();
        this.reportedNanos = now.nanos();
    }

    private static String newIncarnation() {
        return UUID.randomUUID().toString();
    }

    String incarnation() {
        return incarnation;
    }

    ServerCounters counters() {
        return counters.snapshot();
    }

    boolean isDown() {
        return isDown;
    }

    /** What the server does with {@code order}. A run counts as begun with this call. */
    Verdict order(Order order, Moment now) {
        counters.countOrder();
        if (isDown) {
            counters.countBroken();
            return new Verdict.Broken();
        }
        Optional<Verdict.Refusal> refusal = refusalOf(order, now);
        if (refusal.isPresent()) {
            counters.countRefusal(refusal.get());
            return new Verdict.Refuse(refusal.get());
        }
        if (isCold() && running.size() >= settings.cold().slotCount()) {
            counters.countColdOverload();
            isDown = true;
            downUntilNanos = now.nanosAfterMillis(settings.cold().downMillis());
            return new Verdict.Broken();
        }
        return begin(order, now);
    }

    private Optional<Verdict.Refusal> refusalOf(Order order, Moment now) {
        if (order.deadlineMillis() > 0 && now.epochMillis() >= order.deadlineMillis()) {
            return Optional.of(Verdict.Refusal.EXPIRED);
        }
        boolean isChecked = settings.checksOrders() && order.keyHash() >= 0;
        if (isChecked && !grants.covers(order.keyHash(), order.epoch(), now.epochMillis())) {
            return Optional.of(Verdict.Refusal.NOT_OWNER);
        }
        if (isDraining) {
            return Optional.of(Verdict.Refusal.DRAINING);
        }
        return running.size() >= settings.slotCount() ? Optional.of(Verdict.Refusal.SHED) : Optional.empty();
    }

    private boolean isCold() {
        return answeredInThisLife < settings.cold().requestCount();
    }

    private Verdict begin(Order order, Moment now) {
        long ticket = ++lastTicket;
        long dueNanos = now.nanos() + (long) (serviceMillis(order, now) * NANOS_PER_MILLI);
        var record = RunRecord.started(settings.server(), incarnation, ticket, order, now.epochMillis());
        Running run = new Running(ticket, dueNanos, record);
        running.put(ticket, run);
        dueOrder.add(run);
        counters.noteRunning(running.size());
        return new Verdict.Run(ticket);
    }

    private double serviceMillis(Order order, Moment now) {
        long sinceStartMillis = (now.nanos() - startNanos) / NANOS_PER_MILLI;
        double cold = isCold() ? settings.cold().factor() : 1;
        double straggling = settings.stragglers().factorAt(settings.seed(), sinceStartMillis);
        return settings.serviceTimeOf(order.path()).nextMillis(random) * cold * straggling * slowFactor;
    }

    /** The record of the run {@code ticket}. */
    RunRecord recordOf(long ticket) {
        return running.get(ticket).record();
    }

    /** Ends the runs that are due, those that outlasted the grant, and all of them when the server is down. */
    List<Ended> endDue(Moment now) {
        List<Ended> ended = new ArrayList<>(endLapsed(now));
        if (isDown) {
            List.copyOf(running.values()).forEach(run -> ended.add(end(run, RunOutcome.FAILED, now)));
            restartWhenDue(now);
        }
        while (!dueOrder.isEmpty() && dueOrder.peek().dueNanos() - now.nanos() <= 0) {
            answeredInThisLife++;
            ended.add(end(dueOrder.peek(), RunOutcome.ANSWERED, now));
        }
        return ended;
    }

    /** Work on a key ends with the grant, also when the process was frozen as it lapsed and sees it later. */
    private List<Ended> endLapsed(Moment now) {
        if (!settings.checksOrders() || !grants.isLapsed(now.epochMillis())) {
            return List.of();
        }
        return running.values().stream().filter(run -> run.record().keyHash() >= 0).toList().stream()
                .map(run -> end(run, RunOutcome.FAILED, grants.expiresAtMillis()))
                .toList();
    }

    private void restartWhenDue(Moment now) {
        if (downUntilNanos - now.nanos() <= 0) {
            isDown = false;
            incarnation = newIncarnation();
            answeredInThisLife = 0;
            grants = new GrantBook();
        }
    }

    private Ended end(Running run, RunOutcome outcome, Moment now) {
        return end(run, outcome, now.epochMillis());
    }

    private Ended end(Running run, RunOutcome outcome, long endMillis) {
        running.remove(run.ticket());
        dueOrder.remove(run);
        return new Ended(run.ticket(), run.record().ended(outcome, endMillis));
    }

    /** When {@link #endDue} has something to do again, on the monotonic clock; empty when nothing runs. */
    Optional<Long> nextDueNanos() {
        if (isDown) {
            return Optional.of(downUntilNanos);
        }
        return Optional.ofNullable(dueOrder.peek()).map(run -> run.dueNanos());
    }

    /** Cancels the runs of {@code orderId}. */
    List<Ended> cancel(String orderId, Moment now) {
        return running.values().stream().filter(run -> run.record().orderId().equals(orderId)).toList().stream()
                .map(run -> end(run, RunOutcome.CANCELLED, now))
                .toList();
    }

    /** Takes {@code grant} if it is for this life of this server and no higher map version was seen. */
    boolean grant(Grant grant) {
        return grant.server().equals(settings.server())
                && grant.incarnation().equals(incarnation)
                && grants.accept(grant);
    }

    long highestMapVersion() {
        return grants.highestMapVersion();
    }

    /** What the server says of itself; the load is as old as the settings' lag allows. */
    ServerStatus status(Moment now) {
        if (now.nanos() - reportedNanos >= settings.reportLagMillis() * NANOS_PER_MILLI) {
            reportedRunning = running.size();
            reportedNanos = now.nanos();
        }
        double load = (double) reportedRunning / settings.slotCount();
        return new ServerStatus(
                incarnation, now.epochMillis(), isDraining, reportedRunning, load, grants.highestMapVersion());
    }

    void apply(Switches switches) {
        isDraining = switches.isDraining();
        slowFactor = switches.slowFactor();
    }

    /** A run that has ended. */
    record Ended(long ticket, RunRecord record) {}

    private record Running(long ticket, long dueNanos, RunRecord record) {}
}
