import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A request that crashes its backends comes again while the routers are restarted in turn: how often does it reach one? */
final class Case10 {
    private static final int BACKENDS = 12;
    private static final int ROUTERS = 3;
    private static final long DOWN_MILLIS = 3_000;
    private static final long PERIOD_MILLIS = 1_000;
    private static final double STABLE_SECONDS = 3;
    private static final int CRASHES_UNTIL_COUNTED = 3;
    private static final int ALLOWED_RETRIES = 3;
    private static final long GRACE_MILLIS = 6_000;
    private static final double END_SECONDS = 62;

    /** An arrival of the request at a backend, and the router that it came from. */
    private record Arrival(double seconds, String attempt, String backend) {}

    private final Fleet fleet;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final double[] inTouchSince = new double[ROUTERS];
    private final long startNanos = System.nanoTime();
    private int retries;
    private volatile boolean isOver;

    private final class Crashing extends Backend {
        Crashing(String id) throws Exception {
            super(fleet.store, "127.0.0.1", id, "status", "za", false);
        }

        @Override
        void run(Http.Message call, OutputStream out) throws Exception {
            if (!call.target().contains("crash")) {
                super.run(call, out);
                return;
            }
            record(new Arrival(seconds(), call.header("X-Attempt-Id"), id));
            Thread.sleep(20);
            crash(DOWN_MILLIS);
            throw new IOException("crashed");
        }
    }

    private Case10(Fleet fleet) throws Exception {
        this.fleet = fleet;
        fleet.configure(
                1,
                List.of(Fleet.route("stock", "/stock/", "idempotent", 1, 0.5, "status", 2)),
                List.of(Fleet.service("status", false)));
        for (int index = 0; index < BACKENDS; index++) {
            fleet.add(new Crashing("status-" + index));
        }
        for (int index = 0; index < ROUTERS; index++) {
            fleet.addRouter("edge-" + (index + 1), "127.0.0." + (index + 1), "za");
        }
    }

    private double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private synchronized void record(Arrival arrival) {
        int router = Integer.parseInt(arrival.attempt().split("-")[1]) - 1;
        boolean isCounted = arrivals.size() >= CRASHES_UNTIL_COUNTED
                && arrival.seconds() > arrivals.get(CRASHES_UNTIL_COUNTED - 1).seconds() + STABLE_SECONDS
                && arrival.seconds() > inTouchSince[router];
        retries += isCounted ? 1 : 0;
        arrivals.add(arrival);
        fleet.note(
                "arrival %d of the request, %s at %s%s",
                arrivals.size(), arrival.attempt(), arrival.backend(), isCounted ? ": retry " + retries : "");
    }

    /** Sends the request again and again, each time at the next router that says it is ready. */
    private void repeat() throws Exception {
        int count = 0;
        while (!isOver) {
            Router router = fleet.routers.get(count % ROUTERS);
            count++;
            if (router.readiness() != 200) {
                continue;
            }
            String id = router.node() + "-" + count;
            String result;
            try (Socket socket = router.connect()) {
                socket.setSoTimeout(1_500);
                socket.getOutputStream()
                        .write(("GET /stock/crash HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                                        + "\r\nX-Timeout-Remaining-Ms: 1500\r\n\r\n")
                                .getBytes());
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
                result = answer == null ? "closed" : answer.startLine() + " Retry-After " + answer.header("Retry-After");
            } catch (IOException e) {
                result = e.toString();
            }
            fleet.note("%s: %s", id, result);
            Thread.sleep(PERIOD_MILLIS);
        }
    }

    private void restart(int index) throws Exception {
        Router router = fleet.routers.get(index);
        synchronized (this) {
            inTouchSince[index] = Double.POSITIVE_INFINITY;
        }
        fleet.note("SIGTERM to %s", router.node());
        router.signal("TERM");
        if (!router.awaitEnd(GRACE_MILLIS)) {
            router.close();
        }
        router.start();
        fleet.note("%s starts", router.node());
        synchronized (this) {
            inTouchSince[index] = seconds() + STABLE_SECONDS;
        }
        router.awaitReady(20);
    }

    private int run() throws Exception {
        for (Router router : fleet.routers) {
            if (!router.awaitReady(20)) {
                fleet.note("%s is not ready", router.node());
                return Fleet.CANNOT_RUN;
            }
        }
        fleet.sleepUntil(8);
        Thread repeating = Http.start("repeat", this::repeat);
        fleet.sleepUntil(16);
        if (Fleet.hasTrouble()) {
            for (int index = 0; index < ROUTERS; index++) {
                restart(index);
                Thread.sleep(5_000);
            }
        }
        fleet.sleepUntil(END_SECONDS);
        isOver = true;
        repeating.join(5_000);
        synchronized (this) {
            fleet.note("arrivals %d, retries that count %d, allowed %d", arrivals.size(), retries, ALLOWED_RETRIES);
            boolean isCrashing = arrivals.size() >= CRASHES_UNTIL_COUNTED;
            return !isCrashing ? Fleet.CANNOT_RUN : retries > ALLOWED_RETRIES ? Fleet.BROKEN : Fleet.HELD;
        }
    }

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            code = new Case10(fleet).run();
        }
        System.exit(code);
    }
}
