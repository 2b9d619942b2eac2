import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A SIGTERM while consumers wait for pipelined requests: is a request broken off at which its backend is at work? */
final class Case9 {
    private static final double GRACE_SECONDS = 6;
    private static final int CONSUMERS = 10;
    private static final int LIMIT_MILLIS = 12_000;
    /** When SIGTERM comes, after the requests were sent, in milliseconds. */
    private static final int TERM_MILLIS = 1_000;
    /** The longest work, counted from SIGTERM: it ends before the last sixth of GraceS. */
    private static final int LAST_END_MILLIS = 4_930;

    private static final int STEP_MILLIS = 15;

    private record Result(String id, int workMillis, double sentSeconds, double answeredSeconds, String outcome, boolean isServed) {}

    private final Fleet fleet;
    private final Router router;
    private final List<Result> results = Collections.synchronizedList(new ArrayList<>());
    private final long startNanos = System.nanoTime();
    private volatile double termSeconds = Double.POSITIVE_INFINITY;

    private Case9(Fleet fleet) throws Exception {
        this.fleet = fleet;
        fleet.configure(
                1,
                List.of(Fleet.route("spec", "/spec/", "idempotent", 10, 8, "catalogue", 2)),
                List.of(Fleet.service("catalogue", false)));
        for (int index = 0; index < 8; index++) {
            fleet.addBackend("catalogue-" + index, "catalogue", "za", false);
        }
        router = fleet.addRouter("edge-1", "127.0.0.1", "za");
    }

    private double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private static String request(String id, int workMillis) {
        return "GET /spec/ms-" + workMillis + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Timeout-Remaining-Ms: " + LIMIT_MILLIS + "\r\n\r\n";
    }

    /** Sends a long request and a short one behind it, and reads both answers. */
    private void consume(int number) throws Exception {
        int workMillis = TERM_MILLIS + LAST_END_MILLIS - number * STEP_MILLIS;
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(LIMIT_MILLIS);
            double sent = seconds();
            String first = "long-" + number;
            String second = "short-" + number;
            socket.getOutputStream().write((request(first, workMillis) + request(second, 100)).getBytes());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            readAnswer(in, first, workMillis, sent);
            readAnswer(in, second, 100, sent);
        }
    }

    private void readAnswer(InputStream in, String id, int workMillis, double sent) {
        String outcome;
        boolean isServed = false;
        try {
            Http.Message answer = Http.read(in);
            outcome = answer == null ? "closed without an answer" : answer.startLine();
            isServed = answer != null && answer.status() == 200 && !answer.header("X-Backend-Signature").isEmpty();
        } catch (IOException e) {
            outcome = e.toString();
        }
        results.add(new Result(id, workMillis, sent, seconds(), outcome, isServed));
    }

    private int run() throws Exception {
        if (!router.awaitReady(20)) {
            fleet.note("the router is not ready");
            return Fleet.CANNOT_RUN;
        }
        // The router counts itself, and so has a share of the limits, some seconds after its start.
        Thread.sleep(5_000);
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CONSUMERS; number++) {
            int consumer = number;
            threads.add(Http.start("consumer", () -> consume(consumer)));
        }
        Thread.sleep(TERM_MILLIS);
        if (Fleet.hasTrouble()) {
            termSeconds = seconds();
            router.signal("TERM");
            fleet.note("SIGTERM");
            if (!router.awaitEnd((long) (GRACE_SECONDS * 1_000))) {
                fleet.note("SIGKILL after GraceS");
            }
        }
        for (Thread thread : threads) {
            thread.join(LIMIT_MILLIS);
        }
        return judge();
    }

    private int judge() {
        int broken = 0;
        for (Result result : results) {
            double workEnds = result.sentSeconds() + result.workMillis() / 1e3 - termSeconds;
            boolean isExcused = workEnds >= GRACE_SECONDS * 5 / 6;
            boolean isBroken = !result.isServed() && !isExcused;
            broken += isBroken ? 1 : 0;
            fleet.note(
                    "%s: %s %.3f s after SIGTERM; its work takes until %.3f s%s",
                    result.id(),
                    result.outcome(),
                    result.answeredSeconds() - termSeconds,
                    workEnds,
                    isBroken ? ": LOST" : "");
        }
        boolean isComplete = results.size() == 2 * CONSUMERS;
        fleet.note("%d of %d requests are LOST", broken, results.size());
        return !isComplete ? Fleet.CANNOT_RUN : broken > 0 ? Fleet.BROKEN : Fleet.HELD;
    }

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            code = new Case9(fleet).run();
        }
        System.exit(code);
    }
}
