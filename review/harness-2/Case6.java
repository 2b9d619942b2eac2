import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A backend drains, leaves grants unanswered and carries them out late; meanwhile the router that controls the keys gets
 * SIGTERM. Does the next one give the keys away while the drained backend may still take them?
 */
final class Case6 {
    private static final String SERVICE = "status";
    /** How long after its arrival an unanswered grant is carried out, in milliseconds: the shortest time of the pages. */
    private static final long LATE_MILLIS = 2_000;
    /** When the routers' controller is stopped, after the first grant without an answer, in milliseconds. */
    private static final long TERM_AFTER_MILLIS = 600;
    /** How long grants go unanswered, in milliseconds. */
    private static final long TROUBLE_MILLIS = 5_000;

    /** A grant that a backend took. */
    private record Taken(String backend, int from, int to, long fence, long takenNanos, long endNanos) {
        boolean overlaps(Taken other) {
            return from <= other.to && other.from <= to;
        }
    }

    private final Fleet fleet;
    private final List<Taken> taken = new ArrayList<>();
    private volatile boolean isOver;
    private volatile long troubleEndNanos;
    private volatile long firstLateNanos;
    private int broken;
    private int orders;
    private int unanswered;

    /** A backend that reports each grant that it takes. */
    private final class Reporting extends Backend {
        Reporting(String id) throws Exception {
            super(fleet.store, "127.0.0.1", id, SERVICE, "za", true);
        }

        @Override
        boolean answer(Http.Message call, OutputStream out) throws Exception {
            boolean isOrder = call.target().startsWith("/-/");
            boolean isUnanswered = call.target().equals("/-/grant") && isLate();
            if (isOrder && System.nanoTime() - troubleEndNanos < 0) {
                countOrder(isUnanswered);
            }
            if (isUnanswered) {
                takeLate(call);
                // No answer: the connection stays open until the caller closes it.
                return true;
            }
            if (call.target().equals("/-/release")) {
                fleet.note("%s: release %s", id, call.text());
            }
            return super.answer(call, out);
        }

        private boolean isLate() {
            return isDraining() && System.nanoTime() - troubleEndNanos < 0;
        }

        private void takeLate(Http.Message call) {
            long arrivedNanos = System.nanoTime();
            if (firstLateNanos == 0) {
                firstLateNanos = arrivedNanos;
            }
            fleet.note("%s: grant %s arrives, gets no answer", id, call.text());
            Http.start("late", () -> {
                Thread.sleep(LATE_MILLIS);
                fleet.note("%s: late grant %s", id, call.text());
                grant(Json.object(call.text()), arrivedNanos);
            });
        }

        @Override
        synchronized int grant(Map<String, Object> call, long arrivedNanos) {
            int status = super.grant(call, arrivedNanos);
            long end = arrivedNanos + (long) (((Number) call.get("HoldS")).doubleValue() * 1e9);
            if (status == 200 && end - System.nanoTime() > 0) {
                record(new Taken(
                        id,
                        ((Number) call.get("From")).intValue(),
                        ((Number) call.get("To")).intValue(),
                        ((Number) call.get("fence")).longValue(),
                        System.nanoTime(),
                        end));
            } else {
                fleet.note("%s: grant %s: %s", id, call, status == 200 ? "its time is over" : status);
            }
            return status;
        }
    }

    private Case6(Fleet fleet) throws Exception {
        this.fleet = fleet;
        fleet.configure(
                1,
                List.of(Fleet.route("stock", "/stock/", "idempotent", 1, 0.5, SERVICE, 2)),
                List.of(Fleet.service(SERVICE, true)));
        for (String id : List.of("p", "q", "r")) {
            fleet.add(new Reporting(id));
        }
        fleet.addRouter("edge-1", "127.0.0.1", "za");
        fleet.addRouter("edge-2", "127.0.0.2", "za");
    }

    private void record(Taken grant) {
        synchronized (taken) {
            for (Taken other : taken) {
                boolean isLower = !other.backend().equals(grant.backend())
                        && other.overlaps(grant)
                        && other.fence() >= grant.fence();
                if (isLower) {
                    broken++;
                    fleet.note(
                            "OWNER: %s takes keys %d to %d with fence %d; %s had keys %d to %d with fence %d and holds them for %.3f s more",
                            grant.backend(), grant.from(), grant.to(), grant.fence(),
                            other.backend(), other.from(), other.to(), other.fence(),
                            (other.endNanos() - grant.takenNanos()) / 1e9);
                }
            }
            taken.add(grant);
        }
    }

    private synchronized void countOrder(boolean isUnanswered) {
        orders++;
        unanswered += isUnanswered ? 1 : 0;
    }

    private Router controller() {
        String entry = fleet.store.get("daisyscale/fleet/controller");
        return fleet.routers.stream()
                .filter(router -> entry != null && entry.contains("\"" + router.node() + "\""))
                .findFirst()
                .orElse(null);
    }

    /** Sends requests for all parts of the keys through {@code router} until the end. */
    private void consume(Router router) throws Exception {
        int count = 0;
        int ok = 0;
        while (!isOver && router.isAlive()) {
            try (Socket socket = router.connect()) {
                socket.setSoTimeout(1_500);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Http.Message answer = ask(socket, in, router, ++count); answer != null && !isOver;
                        answer = ask(socket, in, router, ++count)) {
                    ok += answer.status() == 200 ? 1 : 0;
                    Thread.sleep(20);
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        fleet.note("%s: %d of %d requests answered with 200", router.node(), ok, count);
    }

    private static Http.Message ask(Socket socket, InputStream in, Router router, int count) throws IOException {
        String id = router.node() + "-" + count;
        socket.getOutputStream()
                .write(("GET /stock/ms-20 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Shard-Key: "
                                + (count * 7_919) % 65_536 + "\r\nX-Timeout-Remaining-Ms: 1500\r\n\r\n")
                        .getBytes());
        return Http.read(in);
    }

    private int run() throws Exception {
        for (Router router : fleet.routers) {
            if (!router.awaitReady(20)) {
                fleet.note("%s is not ready", router.node());
                return Fleet.CANNOT_RUN;
            }
        }
        List<Thread> consumers = new ArrayList<>();
        for (Router router : fleet.routers) {
            consumers.add(Http.start("consumer", () -> consume(router)));
        }
        Thread.sleep(12_000);
        Router first = controller();
        if (first == null) {
            return Fleet.CANNOT_RUN;
        }
        if (Fleet.hasTrouble()) {
            troubleEndNanos = System.nanoTime() + TROUBLE_MILLIS * 1_000_000L;
        } else {
            troubleEndNanos = System.nanoTime();
        }
        fleet.note("p drains; %s controls the keys", first.node());
        fleet.backends.get(0).drain();
        long drainNanos = System.nanoTime();
        while (firstLateNanos == 0 && System.nanoTime() - drainNanos < 3_000_000_000L && Fleet.hasTrouble()) {
            Thread.sleep(5);
        }
        Thread.sleep(TERM_AFTER_MILLIS);
        fleet.note("SIGTERM to %s", first.node());
        first.signal("TERM");
        Thread.sleep(9_000);
        isOver = true;
        for (Thread consumer : consumers) {
            consumer.join(3_000);
        }
        boolean hasMoved = taken.stream().anyMatch(grant -> !grant.backend().equals("p") && grant.takenNanos() > drainNanos);
        fleet.note("%d of %d orders to backends within %d ms got no answer", unanswered, orders, TROUBLE_MILLIS);
        fleet.note("grants that broke OWNER: %d; the keys of p were granted to others: %s", broken, hasMoved);
        return broken > 0 ? Fleet.BROKEN : hasMoved ? Fleet.HELD : Fleet.CANNOT_RUN;
    }

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            code = new Case6(fleet).run();
        }
        System.exit(code);
    }
}
