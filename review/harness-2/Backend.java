import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;

/**
 * A backend that registers itself in the store. A path that contains {@code ms-N} takes N milliseconds, one with
 * {@code out-N} is answered with N bytes. It holds the keys that it is granted and rejects requests on others.
 */
class Backend implements AutoCloseable {
    private static final Pattern WORK = Pattern.compile("ms-(\\d+)");
    private static final Pattern SIZE = Pattern.compile("out-(\\d+)");

    /** One request that this backend began to work on. */
    record Run(String id, String attempt, String path, int bodyBytes, long beganNanos) {}

    final String id;
    final String service;
    final String zone;
    final boolean isSharded;
    private volatile long born = System.currentTimeMillis();
    private volatile ServerSocket server;
    final List<Run> runs = new ArrayList<>();
    final List<Grant> grants = new ArrayList<>();
    final AtomicInteger working = new AtomicInteger();
    private final Store store;
    private final String host;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Thread reports;
    private volatile String state = "ready";
    /** The highest fence that this backend has seen on each key, in grants and releases. */
    private final long[] seenFences = new long[65_536];

    private int sequence;

    /** Keys that this backend holds until {@code endNanos}. */
    static final class Grant {
        final int from;
        final int to;
        final long fence;
        final long endNanos;

        Grant(int from, int to, long fence, long endNanos) {
            this.from = from;
            this.to = to;
            this.fence = fence;
            this.endNanos = endNanos;
        }
    }

    Backend(Store store, String host, String id, String service, String zone, boolean isSharded) throws Exception {
        this.store = store;
        this.host = host;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.isSharded = isSharded;
        server = Http.listen(host, this::serve);
        report();
        reports = Http.start("reports", () -> {
            while (true) {
                Thread.sleep(870);
                report();
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private synchronized void report() {
        if (server.isClosed()) {
            return;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("Service", service);
        entry.put("Address", address());
        entry.put("Zone", zone);
        entry.put("Version", "v1");
        entry.put("Slots", 3);
        entry.put("State", state);
        entry.put("ColdLeftS", 0);
        entry.put("Seq", ++sequence);
        entry.put("born", born);
        store.put("servers/" + id, entry);
    }

    /** Crashes: resets all connections and comes back at another port after {@code millis}, knowing nothing. */
    void crash(long millis) throws Exception {
        server.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
        synchronized (this) {
            grants.clear();
            Arrays.fill(seenFences, 0);
        }
        Http.start("restart", () -> {
            Thread.sleep(millis);
            server = Http.listen(host, this::serve);
            born = System.currentTimeMillis();
            report();
        });
    }

    boolean isDraining() {
        return state.equals("draining");
    }

    void drain() {
        state = "draining";
        report();
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        sockets.add(socket);
        for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
            if (!answer(call, out)) {
                return;
            }
        }
    }

    /** Answers one call; returns false if the connection ends with it. */
    boolean answer(Http.Message call, OutputStream out) throws Exception {
        if (call.target().equals("/health")) {
            Http.write(out, "HTTP/1.1 200 OK", List.of("X-Instance-Id: " + id, "X-Backend-Load: 0,0,3"), new byte[0]);
        } else if (call.target().equals("/-/grant")) {
            Http.write(out, "HTTP/1.1 " + grant(Json.object(call.text()), System.nanoTime()) + " Status", List.of(), new byte[0]);
        } else if (call.target().equals("/-/release")) {
            release(Json.object(call.text()));
            Http.write(out, "HTTP/1.1 200 OK", List.of("X-Handover: h"), new byte[0]);
        } else {
            run(call, out);
        }
        return true;
    }

    /** Takes a grant whose time counts from {@code arrivedNanos}; returns the status of the answer. */
    synchronized int grant(Map<String, Object> call, long arrivedNanos) {
        int from = ((Number) call.get("From")).intValue();
        int to = ((Number) call.get("To")).intValue();
        long fence = ((Number) call.get("fence")).longValue();
        if (LongStream.of(seenFences).skip(from).limit(to - from + 1L).anyMatch(seen -> seen > fence)) {
            return 409;
        }
        Arrays.fill(seenFences, from, to + 1, fence);
        long end = arrivedNanos + (long) (((Number) call.get("HoldS")).doubleValue() * 1e9);
        remove(from, to);
        grants.add(new Grant(from, to, fence, end));
        return 200;
    }

    synchronized void release(Map<String, Object> call) {
        int from = ((Number) call.get("From")).intValue();
        int to = ((Number) call.get("To")).intValue();
        long fence = ((Number) call.get("fence")).longValue();
        for (int key = from; key <= to; key++) {
            seenFences[key] = Math.max(seenFences[key], fence);
        }
        remove(from, to);
    }

    private void remove(int from, int to) {
        List<Grant> kept = new ArrayList<>();
        for (Grant grant : grants) {
            if (grant.from < from) {
                kept.add(new Grant(grant.from, Math.min(grant.to, from - 1), grant.fence, grant.endNanos));
            }
            if (grant.to > to) {
                kept.add(new Grant(Math.max(grant.from, to + 1), grant.to, grant.fence, grant.endNanos));
            }
        }
        grants.clear();
        grants.addAll(kept);
    }

    synchronized boolean holds(int key) {
        long now = System.nanoTime();
        return grants.stream().anyMatch(grant -> grant.from <= key && key <= grant.to && grant.endNanos - now > 0);
    }

    void run(Http.Message call, OutputStream out) throws Exception {
        String attempt = call.header("X-Attempt-Id");
        String target = call.header("X-Target-Instance");
        boolean isOther = !target.isEmpty() && !target.equals(id);
        boolean lacksKey = isSharded
                && (call.header("X-Shard-Key").isEmpty() || !holds(Integer.parseInt(call.header("X-Shard-Key"))));
        if (isOther || lacksKey) {
            Http.write(
                    out,
                    "HTTP/1.1 421 Misdirected Request",
                    List.of("X-Attempt-Id: " + attempt, "X-Instance-Id: " + id, "X-Not-Executed: 1"),
                    new byte[0]);
            return;
        }
        Run run = new Run(id, attempt, call.target(), call.body().length, System.nanoTime());
        synchronized (runs) {
            runs.add(run);
        }
        working.incrementAndGet();
        try {
            Thread.sleep(number(WORK, call.target(), 20));
        } finally {
            working.decrementAndGet();
        }
        byte[] body = body(attempt, number(SIZE, call.target(), 64));
        Http.write(out, "HTTP/1.1 200 OK", answerHeaders(attempt), body);
    }

    List<String> answerHeaders(String attempt) {
        return List.of(
                "X-Attempt-Id: " + attempt,
                "X-Backend-Signature: " + signature(attempt),
                "X-Backend-Load: " + working.get() + ",0,3");
    }

    String signature(String attempt) {
        return id + "." + attempt;
    }

    /** Returns the body of the answer to {@code attempt}: its id, repeated. */
    static byte[] body(String attempt, int size) {
        byte[] unit = (attempt + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[size];
        for (int index = 0; index < size; index++) {
            body[index] = unit[index % unit.length];
        }
        return body;
    }

    static int number(Pattern pattern, String path, int standard) {
        Matcher matcher = pattern.matcher(path);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : standard;
    }

    List<Run> runs() {
        synchronized (runs) {
            return List.copyOf(runs);
        }
    }

    @Override
    public void close() throws Exception {
        reports.interrupt();
        server.close();
    }
}
