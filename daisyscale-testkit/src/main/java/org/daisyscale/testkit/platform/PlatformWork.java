package org.daisyscale.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.testkit.duty.Duty;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.http.HttpCall;
import org.daisyscale.testkit.http.HttpReply;
import org.daisyscale.testkit.http.Json;

/** The platform's one duty: owns the store, the list of VMs, the watches and the faults. Used by one thread. */
final class PlatformWork implements Duty.Work<PlatformWork.Event> {
    private static final long EXPIRY_PERIOD_NANOS = 10_000_000L;
    private static final int GRPC_NOT_FOUND = 5;
    private static final String NO_LEASE = "etcdserver: requested lease not found";

    private final KeyValueStore store = new KeyValueStore();
    private final VmList vmList = new VmList();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, Long> callCounts = new TreeMap<>();
    private Faults faults = Faults.none();

    @Override
    public void take(Event event) {
        if (event instanceof Event.Called called) {
            answerOrComplain(called.call());
        } else if (event instanceof Event.WatchGone gone) {
            watches.removeIf(watch -> watch.call() == gone.call());
        }
    }

    @Override
    public long doDue() {
        publish(store.expire(System.nanoTime()));
        return EXPIRY_PERIOD_NANOS;
    }

    private void answerOrComplain(HttpCall call) {
        try {
            answerCall(call);
        } catch (TestkitException e) {
            call.answer(HttpReply.text(400, Map.of(), e.getMessage()));
        }
    }

    private void answerCall(HttpCall call) {
        if (call.path().startsWith("/v3/")) {
            callCounts.merge(call.path(), 1L, Long::sum);
            answerEtcd(call);
        } else if (call.path().startsWith("/vms")) {
            callCounts.merge(call.method() + " /vms", 1L, Long::sum);
            answerVms(call);
        } else {
            answerSwitches(call);
        }
    }

    private void answerEtcd(HttpCall call) {
        if (faults.isOutage()) {
            call.abort();
            return;
        }
        JsonNode message = Json.tree(call.body());
        switch (call.path()) {
            case "/v3/kv/range" ->
                reply(call, EtcdMessages.rangeAnswer(store.revision(), store.range(EtcdMessages.range(message))));
            case "/v3/kv/put" -> transact(call, List.of(EtcdMessages.put(message)), true);
            case "/v3/kv/deleterange" ->
                transact(call, List.of(new Operation.DeleteRange(EtcdMessages.range(message))), true);
            case "/v3/kv/txn" -> answerTransaction(call, message);
            case "/v3/lease/grant" -> answerGrant(call, message);
            case "/v3/lease/keepalive" -> answerKeepAlive(call, message);
            case "/v3/lease/revoke" -> answerRevoke(call, message);
            case "/v3/watch" -> beginWatch(call, EtcdMessages.field(message, "create_request"));
            default -> call.answer(HttpReply.empty(404));
        }
    }

    private void answerTransaction(HttpCall call, JsonNode message) {
        boolean succeeded = store.holds(EtcdMessages.compares(message));
        JsonNode branch = EtcdMessages.field(message, succeeded ? "success" : "failure");
        transact(call, EtcdMessages.operations(branch), succeeded);
    }

    private void transact(HttpCall call, List<Operation> operations, boolean succeeded) {
        if (!store.hasLeasesOf(operations)) {
            call.answer(HttpReply.json(404, EtcdMessages.error(GRPC_NOT_FOUND, NO_LEASE)));
            return;
        }
        List<Change> changes = store.apply(operations);
        Map<String, Object> answer = EtcdMessages.header(store.revision());
        if (succeeded) {
            answer.put("succeeded", true);
        }
        answer.put("responses", operations.stream().map(this::operationAnswer).toList());
        publish(changes);
        replyToWrite(call, answer, !changes.isEmpty());
    }

    private Map<String, Object> operationAnswer(Operation operation) {
        if (operation instanceof Operation.Range range) {
            return Map.of("response_range", EtcdMessages.rangeAnswer(store.revision(), store.range(range.range())));
        }
        String name = operation instanceof Operation.Put ? "response_put" : "response_delete_range";
        return Map.of(name, EtcdMessages.header(store.revision()));
    }

    private void answerGrant(HttpCall call, JsonNode message) {
        long ttlSeconds = Math.max(1, EtcdMessages.number(message, "TTL"));
        long id = store.grantLease(ttlSeconds, System.nanoTime());
        replyToWrite(call, leaseAnswer(id, ttlSeconds), true);
    }

    private void answerKeepAlive(HttpCall call, JsonNode message) {
        long id = EtcdMessages.number(message, "ID");
        long ttlSeconds = store.keepAlive(id, System.nanoTime()).orElse(0L);
        replyToWrite(call, Map.of("result", leaseAnswer(id, ttlSeconds)), ttlSeconds > 0);
    }

    private Map<String, Object> leaseAnswer(long id, long ttlSeconds) {
        Map<String, Object> answer = EtcdMessages.header(store.revision());
        answer.put("ID", Long.toString(id));
        if (ttlSeconds > 0) {
            answer.put("TTL", Long.toString(ttlSeconds));
        }
        return answer;
    }

    private void answerRevoke(HttpCall call, JsonNode message) {
        var changes = store.revoke(EtcdMessages.number(message, "ID"));
        if (changes.isEmpty()) {
            call.answer(HttpReply.json(404, EtcdMessages.error(GRPC_NOT_FOUND, NO_LEASE)));
            return;
        }
        publish(changes.get());
        replyToWrite(call, EtcdMessages.header(store.revision()), true);
    }

    private void beginWatch(HttpCall call, JsonNode request) {
        Watch watch = new Watch(EtcdMessages.range(request), call);
        call.beginStream();
        call.sendLine(Map.of("result", watchAnswer("created", true)));
        watches.add(watch);
        long startRevision = EtcdMessages.number(request, "start_revision");
        if (startRevision > 0) {
            send(watch, store.changesSince(startRevision));
        }
    }

    private Map<String, Object> watchAnswer(String name, Object value) {
        Map<String, Object> answer = EtcdMessages.header(store.revision());
        answer.put(name, value);
        return answer;
    }

    private void publish(List<Change> changes) {
        watches.forEach(watch -> send(watch, changes));
    }

    private void send(Watch watch, List<Change> changes) {
        var events = changes.stream()
                .filter(change -> watch.range().contains(change.keyValue().key()))
                .map(EtcdMessages::event)
                .toList();
        if (!events.isEmpty()) {
            watch.call().sendLine(Map.of("result", watchAnswer("events", events)));
        }
    }

    private void reply(HttpCall call, Object answer) {
        call.answerAfter(HttpReply.json(200, answer), faults.delayMillis());
    }

    private void replyToWrite(HttpCall call, Object answer, boolean tookEffect) {
        if (tookEffect && faults.lostAnswers() > 0) {
            faults = faults.withOneAnswerLost();
            call.abort();
            return;
        }
        reply(call, answer);
    }

    private void answerVms(HttpCall call) {
        String id = call.path().replaceFirst("^/vms/?", "").replaceFirst("/leaving$", "");
        long nowNanos = System.nanoTime();
        switch (call.method()) {
            case "GET" -> answerVmList(call, nowNanos);
            case "POST" -> {
                vmList.put(Json.read(call.body(), VmRecord.class), nowNanos);
                call.answer(HttpReply.empty(204));
            }
            case "PUT" -> call.answer(HttpReply.empty(vmList.markLeaving(id, nowNanos) ? 204 : 404));
            case "DELETE" -> call.answer(HttpReply.empty(vmList.remove(id, nowNanos) ? 204 : 404));
            default -> call.answer(HttpReply.empty(405));
        }
    }

    private void answerVmList(HttpCall call, long nowNanos) {
        if (faults.isVmListOutage()) {
            call.abort();
            return;
        }
        call.answer(HttpReply.json(200, vmList.groups(faults.vmListLagMillis(), nowNanos)));
    }

    private void answerSwitches(HttpCall call) {
        if (call.path().equals("/standin/calls")) {
            call.answer(HttpReply.json(200, new LinkedHashMap<>(callCounts)));
        } else if (call.path().equals("/standin/faults") && call.method().equals("PUT")) {
            faults = Json.read(call.body(), Faults.class);
            if (faults.isOutage()) {
                watches.forEach(watch -> watch.call().abort());
            }
            call.answer(HttpReply.json(200, faults));
        } else {
            call.answer(HttpReply.empty(404));
        }
    }

    /** What reaches the duty. */
    sealed interface Event {

        /** A call came. */
        record Called(HttpCall call) implements Event {}

        /** The connection of a call has ended. */
        record WatchGone(HttpCall call) implements Event {}
    }

    /** A watch that waits for changes. */
    private record Watch(KeyRange range, HttpCall call) {}
}
