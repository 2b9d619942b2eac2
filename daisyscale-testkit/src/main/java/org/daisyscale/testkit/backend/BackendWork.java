package org.daisyscale.testkit.backend;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.Moment;
import org.daisyscale.core.ownership.Grant;
import org.daisyscale.testkit.duty.Duty;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.http.HttpCall;
import org.daisyscale.testkit.http.HttpReply;
import org.daisyscale.testkit.http.Json;

/** A server's one duty: owns its state and records, and turns verdicts into answers. Used by one thread. */
final class BackendWork implements Duty.Work<BackendWork.Arrival> {
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final String ORDER_PREFIX = "/daisyscale/orders/";
    private static final byte[] POISON = "poison".getBytes(StandardCharsets.UTF_8);

    private final BackendSettings settings;
    private final BackendState state;
    private final RecordBook records;
    private final long clockOffsetMillis;
    private final Runnable crash;
    private final Map<Long, HttpCall> waiting = new HashMap<>();

    BackendWork(BackendSettings settings, RecordBook records, long clockOffsetMillis, Runnable crash) {
        this.settings = settings;
        this.records = records;
        this.clockOffsetMillis = clockOffsetMillis;
        this.crash = crash;
        this.state = new BackendState(settings, now());
    }

    private Moment now() {
        return new Moment(System.nanoTime(), System.currentTimeMillis() + clockOffsetMillis);
    }

    @Override
    public long doDue() {
        Moment now = now();
        state.endDue(now).forEach(this::answerEnded);
        long dueInNanos = state.nextDueNanos().orElse(now.nanos() + IDLE_NANOS) - now.nanos();
        return Math.max(0, Math.min(IDLE_NANOS, dueInNanos));
    }

    @Override
    public void take(Arrival arrival) {
        state.endDue(now()).forEach(this::answerEnded);
        try {
            answer(arrival);
        } catch (TestkitException e) {
            arrival.call().answer(HttpReply.text(400, Map.of(), e.getMessage()));
        }
    }

    private void answer(Arrival arrival) {
        HttpCall call = arrival.call();
        if (call.path().startsWith("/daisyscale/standin/")) {
            answerTest(call);
        } else if (!call.path().startsWith("/daisyscale/")) {
            answerOrder(arrival.order(), call);
        } else if (state.isDown()) {
            call.answer(HttpReply.empty(500));
        } else {
            answerControl(call);
        }
    }

    private void answerOrder(Order order, HttpCall call) {
        Verdict verdict = state.order(order, now());
        if (verdict instanceof Verdict.Run run) {
            records.keep(run.ticket(), state.recordOf(run.ticket()));
            waiting.put(run.ticket(), call);
            crashIfPoisoned(call);
        } else if (verdict instanceof Verdict.Refuse refuse) {
            call.answer(refusal(order, refuse.refusal()));
        } else {
            call.answer(orderReply(order.orderId(), 500, Map.of("error", "fallen over")));
            state.endDue(now()).forEach(this::answerEnded);
        }
    }

    private void crashIfPoisoned(HttpCall call) {
        byte[] body = call.body();
        boolean isBodyPoisoned = body.length >= POISON.length
                && java.util.Arrays.equals(body, 0, POISON.length, POISON, 0, POISON.length);
        if (isBodyPoisoned || !call.header("Standin-Poison").isEmpty()) {
            crash.run();
        }
    }

    private static HttpReply refusal(Order order, Verdict.Refusal refusal) {
        var headers = Map.of("Daisyscale-Order-Id", order.orderId(), "Daisyscale-Not-Run", refusal.headerValue());
        return HttpReply.text(refusal.status(), headers, refusal.headerValue());
    }

    private void answerEnded(BackendState.Ended ended) {
        RunRecord run = ended.record();
        records.keep(ended.ticket(), run);
        HttpCall call = waiting.remove(ended.ticket());
        int status = run.outcome() == RunOutcome.ANSWERED ? 200 : 500;
        call.answer(orderReply(run.orderId(), status, Echo.of(run)));
    }

    private static HttpReply orderReply(String orderId, int status, Object body) {
        return new HttpReply(status, Map.of("Daisyscale-Order-Id", orderId), "application/json", Json.bytes(body));
    }

    private void answerControl(HttpCall call) {
        String route = call.method() + " " + call.path();
        if (route.equals("GET /daisyscale/status")) {
            call.answer(HttpReply.json(200, state.status(now())));
        } else if (route.equals("PUT /daisyscale/grant") && settings.checksOrders()) {
            boolean isAccepted = state.grant(Json.read(call.body(), Grant.class));
            var answer = Map.of("isAccepted", isAccepted, "mapVersion", state.highestMapVersion());
            call.answer(HttpReply.json(isAccepted ? 200 : 409, answer));
        } else if (route.startsWith("DELETE " + ORDER_PREFIX)) {
            state.cancel(call.path().substring(ORDER_PREFIX.length()), now()).forEach(this::answerEnded);
            call.answer(HttpReply.empty(204));
        } else {
            call.answer(HttpReply.empty(404));
        }
    }

    private void answerTest(HttpCall call) {
        switch (call.method() + " " + call.path()) {
            case "GET /daisyscale/standin/records" ->
                call.answer(HttpReply.json(
                        200,
                        new RecordsAnswer(settings.server(), state.incarnation(), state.counters(), records.all())));
            case "PUT /daisyscale/standin/switches" -> {
                state.apply(Json.read(call.body(), Switches.class));
                call.answer(HttpReply.empty(204));
            }
            default -> call.answer(HttpReply.empty(404));
        }
    }

    /**
     * A call with its order, read before it reached the duty.
     *
     * @param call the call
     * @param order the order; of no meaning for control calls
     */
    record Arrival(HttpCall call, Order order) {}
}
