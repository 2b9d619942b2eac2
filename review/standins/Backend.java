import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a backend, see "Backends" and "Keys that backends hold" in PROTOCOL.md. The last part of a request's
 * path is the time that it takes, in milliseconds.
 */
final class Backend {
    private static final AtomicLong LAST = new AtomicLong();
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "late");
        thread.setDaemon(true);
        return thread;
    });

    /** One span in which the backend holds keys under one generation number. */
    static final class Hold {
        final int from;
        final int to;
        final long fence;
        final long sinceNanos;
        long untilNanos;
        long renewedNanos;

        Hold(int from, int to, long fence, long sinceNanos, long untilNanos) {
            this.from = from;
            this.to = to;
            this.fence = fence;
            this.sinceNanos = sinceNanos;
            this.untilNanos = untilNanos;
            this.renewedNanos = sinceNanos;
        }
    }

    /** A request that the backend began to run. */
    record Run(String backend, String attempt, int key, long fence, long startNanos) {}

    final String id;
    final String service;
    final String zone;
    final boolean isSharded;
    private final long born = System.currentTimeMillis();
    private final Record record;
    private final Http.Server server;
    private final List<Hold> holds = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    volatile long lastBeatNanos;
    private long runningCount;
    private long seq;
    private long coldSinceNanos;
    private long coldUntilNanos;
    private boolean isCold;
    private boolean isDown;
    private int crashAboveInOneSecond = Integer.MAX_VALUE;
    /** Returns how long an order is left unanswered before it is carried out, in milliseconds; 0 for at once. */
    private volatile LateOrders lateOrders = (backend, path) -> 0;

    interface LateOrders {
        long delayMillis(Backend backend, String path);
    }

    Backend(Record record, String id, String service, String zone, boolean isSharded) throws IOException {
        this(record, id, service, zone, isSharded, 0);
    }

    /** Starts a backend at {@code port}, or at a free one if that is 0. */
    Backend(Record record, String id, String service, String zone, boolean isSharded, int port) throws IOException {
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.isSharded = isSharded;
        this.server = new Http.Server("127.0.0.1", port, this::handle);
    }

    static String newId() {
        return "i-%08x".formatted(0x5000_0000L + LAST.incrementAndGet() * 7919);
    }

    void setLateOrders(LateOrders newLateOrders) {
        lateOrders = newLateOrders;
    }

    /** Makes the backend cold from now on; above {@code crashAbove} requests in one second it crashes meanwhile. */
    synchronized void becomeCold(double seconds, int crashAbove) {
        isCold = true;
        coldSinceNanos = System.nanoTime();
        coldUntilNanos = System.nanoTime() + (long) (seconds * 1e9);
        crashAboveInOneSecond = crashAbove;
        record.line(id + ": is cold for " + seconds + " s");
    }

    private long coldLeftMillis() {
        isCold = isCold && coldUntilNanos - System.nanoTime() > 0;
        return isCold ? (coldUntilNanos - System.nanoTime()) / 1_000_000 : 0;
    }

    /** Returns whether the backend holds keys and all its grants were renewed within the last {@code millis}. */
    synchronized boolean wasJustRenewed(long millis) {
        long now = System.nanoTime();
        List<Hold> held = holds.stream().filter(hold -> hold.untilNanos - now > 0).toList();
        return !held.isEmpty() && held.stream().allMatch(hold -> now - hold.renewedNanos < millis * 1_000_000L);
    }

    int port() {
        return server.port();
    }

    /** Ends the process: its port is closed, its connections are reset and it holds nothing any more. */
    synchronized void crash() {
        record.line(id + ": crashes");
        isDown = true;
        server.crash();
        long now = System.nanoTime();
        holds.forEach(hold -> hold.untilNanos = Math.min(hold.untilNanos, now));
    }

    synchronized boolean isDown() {
        return isDown;
    }

    private void crashIfOverloaded() {
        long from = Math.max(coldSinceNanos, System.nanoTime() - 1_000_000_000L);
        long count = runs.stream().filter(run -> run.startNanos() - from > 0).count();
        if (coldLeftMillis() > 0 && count > crashAboveInOneSecond && !isDown) {
            record.line(id + ": crashes, since it is cold and began " + count + " requests in one second");
            isDown = true;
            server.crash();
        }
    }

    synchronized String entry(String state) {
        return ("{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":3,"
                        + "\"State\":\"%s\",\"ColdLeftS\":%s,\"Seq\":%d,\"born\":%d}")
                .formatted(service, server.port(), zone, state, coldLeftMillis() / 1e3, ++seq, born);
    }

    private Http.Reply handle(Http.Message request) throws Exception {
        String path = request.target().split("\\?")[0];
        if (path.equals("/-/grant") || path.equals("/-/release")) {
            return order(path, request);
        } else if (path.equals("/health")) {
            Http.Reply reply = Http.Reply.of(200, "").with("X-Instance-Id", id).with("X-Backend-Load", load());
            synchronized (this) {
                return coldLeftMillis() > 0
                        ? reply.with("X-Cold-Remaining-Ms", Long.toString(coldLeftMillis()))
                        : reply;
            }
        }
        return run(path, request);
    }

    private Http.Reply order(String path, Http.Message request) throws Exception {
        if (!isSharded) {
            return Http.Reply.of(404, "");
        }
        JsonNode body = Store.JSON.readTree(request.body());
        long arrivedNanos = System.nanoTime();
        long delayMillis = lateOrders.delayMillis(this, path);
        if (delayMillis > 0) {
            record.line(id + ": " + path + " " + request.text() + " gets no answer, done " + delayMillis + " ms later");
            TIMER.schedule(() -> carryOut(path, body, arrivedNanos, " late"), delayMillis, TimeUnit.MILLISECONDS);
            return Http.Reply.silent();
        }
        int status = carryOut(path, body, arrivedNanos, "");
        Http.Reply reply = Http.Reply.of(status, "");
        return path.equals("/-/release") ? reply.with("X-Handover", "h" + id) : reply;
    }

    private int carryOut(String path, JsonNode body, long arrivedNanos, String how) {
        int from = body.get("From").intValue();
        int to = body.get("To").intValue();
        long fence = body.get("fence").longValue();
        int status = path.equals("/-/grant")
                ? grant(from, to, fence, arrivedNanos + (long) (body.get("HoldS").doubleValue() * 1e9))
                : release(from, to);
        record.line("%s: %s %d-%d generation %d -> %d%s".formatted(id, path, from, to, fence, status, how));
        return status;
    }

    private synchronized int grant(int from, int to, long fence, long untilNanos) {
        long now = System.nanoTime();
        if (holds.stream().anyMatch(hold -> hold.from <= to && from <= hold.to && hold.fence > fence)) {
            return 409;
        }
        if (untilNanos - now <= 0) {
            return 200;
        }
        for (Hold hold : holds) {
            if (hold.from <= to && from <= hold.to && hold.untilNanos - now > 0) {
                if (hold.fence == fence && hold.from == from && hold.to == to) {
                    hold.untilNanos = untilNanos;
                    hold.renewedNanos = now;
                    return 200;
                }
            }
        }
        holds.add(new Hold(from, to, fence, now, untilNanos));
        return 200;
    }

    private synchronized int release(int from, int to) throws RuntimeException {
        long now = System.nanoTime();
        for (Hold hold : List.copyOf(holds)) {
            if (hold.from <= to && from <= hold.to && hold.untilNanos - now > 0) {
                if (hold.from < from) {
                    holds.add(new Hold(hold.from, from - 1, hold.fence, now, hold.untilNanos));
                }
                if (hold.to > to) {
                    holds.add(new Hold(to + 1, hold.to, hold.fence, now, hold.untilNanos));
                }
                hold.untilNanos = now;
            }
        }
        try {
            while (runningCount > 0) {
                wait(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 200;
    }

    /** Returns the generation number under which the backend holds {@code key} now, or -1. */
    private long fenceOf(int key) {
        long now = System.nanoTime();
        return holds.stream()
                .filter(hold -> hold.from <= key && key <= hold.to && hold.untilNanos - now > 0)
                .mapToLong(hold -> hold.fence)
                .max()
                .orElse(-1);
    }

    private synchronized String load() {
        return runningCount + ",0,3";
    }

    private Http.Reply run(String path, Http.Message request) throws InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        String key = request.header("X-Shard-Key");
        synchronized (this) {
            boolean isThis = request.header("X-Target-Instance").isEmpty()
                    || request.header("X-Target-Instance").equals(id);
            long fence = isSharded && !key.isEmpty() ? fenceOf(Integer.parseInt(key)) : 0;
            if (!isThis || fence < 0) {
                record.line(id + ": " + attempt + " gets 421");
                return Http.Reply.of(421, "")
                        .with("X-Attempt-Id", attempt)
                        .with("X-Instance-Id", id)
                        .with("X-Not-Executed", "1");
            }
            runningCount++;
            runs.add(new Run(id, attempt, key.isEmpty() ? -1 : Integer.parseInt(key), fence, System.nanoTime()));
            record.line(id + ": " + attempt + " runs" + (key.isEmpty() ? "" : ", key " + key + ", generation " + fence));
            crashIfOverloaded();
        }
        String last = path.substring(path.lastIndexOf('/') + 1);
        Thread.sleep(last.matches("\\d{1,5}") ? Long.parseLong(last) : 5);
        synchronized (this) {
            runningCount--;
            notifyAll();
        }
        return Http.Reply.of(200, "done " + attempt + " " + request.body().length)
                .with("X-Attempt-Id", attempt)
                .with("X-Backend-Signature", "s." + id)
                .with("X-Backend-Load", load());
    }

    synchronized List<Hold> holds() {
        return List.copyOf(holds);
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Writes the entries of {@code backends} about every heartbeat until the process ends. */
    static void beat(Store store, List<Backend> backends, Map<Backend, String> states) {
        Http.daemon("beat", () -> {
            while (true) {
                for (Backend backend : backends) {
                    String state = states.getOrDefault(backend, "ready");
                    if (!state.equals("gone") && !backend.isDown()) {
                        store.put("servers/" + backend.id, backend.entry(state));
                        backend.lastBeatNanos = System.nanoTime();
                    }
                }
                try {
                    Thread.sleep(1_500);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }
}
