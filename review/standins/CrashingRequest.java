import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** One request crashes each backend that begins to run it, and comes again at any machine. */
public final class CrashingRequest {
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int MAX_RETRIES = 3;
    private static final long DOWN_MILLIS = 2_000;
    private static final long LENGTH_MILLIS = 24_000;
    private static final String CRASHING_PATH = "/reads/report-4711";

    private static volatile boolean isOver;

    private CrashingRequest() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            result = new Case(record, folder, isTrouble).run();
        }
        System.exit(result);
    }

    /** An arrival of the crashing request at a backend. */
    private record Arrival(String attempt, long nanos) {}

    private static final class Case {
        private final Record record;
        private final Path folder;
        private final boolean isTrouble;
        private final Store store;
        private final List<Slot> slots = new ArrayList<>();
        private final List<Arrival> arrivals = new ArrayList<>();
        private final AtomicInteger crashes = new AtomicInteger();
        private final AtomicInteger othersLost = new AtomicInteger();
        private volatile long thirdCrashNanos;

        Case(Record record, Path folder, boolean isTrouble) {
            this.record = record;
            this.folder = folder;
            this.isTrouble = isTrouble;
            this.store = new Store(record);
        }

        int run() throws Exception {
            for (int index = 0; index < 6; index++) {
                slots.add(new Slot(this));
            }
            store.put("op/config", Configuration.of(
                    7,
                    List.of(
                            new Configuration.Route("/reads/", "idempotent", 0.8, 0.4, "pool", 2),
                            new Configuration.Route("/orders/", "non_idempotent", 1, 0.5, "pool", 1)),
                    List.of(new Configuration.Service("pool", false))));
            Http.daemon("beat", this::beat);
            try (Router one = new Router(folder, "edge-1", "127.0.0.1", "z1", store.open("edge-1"));
                    Router two = new Router(folder, "edge-2", "127.0.0.2", "z1", store.open("edge-2"))) {
                one.start();
                two.start();
                if (!one.awaitReady(40) || !two.awaitReady(40)) {
                    record.result("the routers did not become ready");
                    return 2;
                }
                Thread.sleep(4_000);
                for (int index = 0; index < 4; index++) {
                    Router router = index % 2 == 0 ? one : two;
                    Http.daemon("orders", () -> sendOrders(router));
                }
                sendCrashing(List.of(one, two));
                isOver = true;
                if (!one.isAlive() || !two.isAlive()) {
                    record.result("a router ended");
                    return 2;
                }
            }
            return verdict();
        }

        private int verdict() {
            Set<String> seen = new HashSet<>();
            int late = 0;
            int lateRetries = 0;
            for (Arrival arrival : arrivals) {
                boolean isRepeat = !seen.add(arrival.attempt());
                if (thirdCrashNanos != 0 && arrival.nanos() - thirdCrashNanos > STABLE_WINDOW_NANOS) {
                    late++;
                    lateRetries += isRepeat ? 1 : 0;
                }
            }
            record.result("crashes: " + crashes.get() + "; arrivals of the request: " + arrivals.size());
            record.result("later than 3 s after the third crash: arrivals " + late + ", of these sent again by a router "
                    + lateRetries + " (bound " + MAX_RETRIES + ")");
            record.result("orders of others that got no answer of a backend since: " + othersLost.get());
            return lateRetries > MAX_RETRIES ? 1 : 0;
        }

        private void beat() {
            while (true) {
                for (Slot slot : slots) {
                    slot.beat();
                }
                sleep(1_500);
            }
        }

        /** The consumer sends the request, tries once more at the other machine, and comes again 2.5 s later. */
        private void sendCrashing(List<Router> routers) {
            long endNanos = System.nanoTime() + LENGTH_MILLIS * 1_000_000L;
            for (int coming = 0; System.nanoTime() < endNanos; coming++) {
                boolean isServed = false;
                for (int attempt = 0; attempt < 2 && !isServed; attempt++) {
                    isServed = send(routers.get((coming + attempt) % 2), "GET", CRASHING_PATH, "consumer") == 200;
                }
                sleep(2_500);
            }
        }

        private void sendOrders(Router router) {
            for (int index = 0; !isOver; index++) {
                int status = send(router, "POST", "/orders/120", "order");
                if (status != 200 && status != 503 && status != 429 && thirdCrashNanos != 0) {
                    othersLost.incrementAndGet();
                }
                sleep(50);
            }
        }

        private int send(Router router, String method, String path, String who) {
            String attempt = Consumer.newAttempt();
            try (Consumer consumer = new Consumer(router.ip, router.front)) {
                consumer.open();
                consumer.send(method, path, attempt, 1_500, Map.of(), new byte[0]);
                Http.Message answer = consumer.receive(3_000);
                int status = answer == null ? 0 : answer.status();
                record.line(who + ": " + attempt + " " + method + " " + path + " at " + router.node + " -> "
                        + (status == 0 ? "closed" : status));
                return status;
            } catch (IOException e) {
                record.line(who + ": " + attempt + " " + method + " " + path + " at " + router.node + " -> " + e);
                return 0;
            }
        }

        private synchronized void arrived(String backend, String attempt) {
            arrivals.add(new Arrival(attempt, System.nanoTime()));
            record.line(backend + ": " + attempt + " begins to run " + CRASHING_PATH);
            if (isTrouble && crashes.incrementAndGet() == 3) {
                thirdCrashNanos = System.nanoTime();
            }
        }
    }

    /** A place at which one boot of a backend follows another, each with an id of its own. */
    private static final class Slot {
        private final Case owner;
        private String id;
        private Http.Server server;
        private int port;
        private long born;
        private long seq;
        private final Map<String, Long> endedNanosById = new HashMap<>();

        Slot(Case owner) throws IOException {
            this.owner = owner;
            boot();
        }

        private synchronized void boot() throws IOException {
            id = Backend.newId();
            born = System.currentTimeMillis();
            seq = 0;
            server = new Http.Server("127.0.0.1", port, this::handle);
            port = server.port();
            owner.record.line(id + ": starts");
            beat();
        }

        synchronized void beat() {
            if (server != null) {
                owner.store.put("servers/" + id, ("{\"Service\":\"pool\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"z1\","
                                + "\"Version\":\"v1\",\"Slots\":3,\"State\":\"ready\",\"ColdLeftS\":0,\"Seq\":%d,"
                                + "\"born\":%d}")
                        .formatted(port, ++seq, born));
            }
            long now = System.nanoTime();
            for (String ended : List.copyOf(endedNanosById.keySet())) {
                if (now - endedNanosById.get(ended) > 4_500_000_000L) {
                    endedNanosById.remove(ended);
                    owner.store.delete("servers/" + ended);
                }
            }
        }

        private synchronized void crash() {
            if (server == null) {
                return;
            }
            owner.record.line(id + ": crashes");
            endedNanosById.put(id, System.nanoTime());
            server.crash();
            server = null;
            Http.daemon("boot", () -> {
                sleep(DOWN_MILLIS);
                try {
                    boot();
                } catch (IOException e) {
                    owner.record.line("a backend does not start again: " + e);
                }
            });
        }

        private Http.Reply handle(Http.Message request) throws Exception {
            String attempt = request.header("X-Attempt-Id");
            String own = id;
            if (request.target().equals("/health")) {
                return Http.Reply.of(200, "").with("X-Instance-Id", own);
            }
            if (!request.header("X-Target-Instance").equals(own)) {
                return Http.Reply.of(421, "").with("X-Attempt-Id", attempt).with("X-Not-Executed", "1");
            }
            if (request.target().equals(CRASHING_PATH)) {
                owner.arrived(own, attempt);
                if (owner.isTrouble) {
                    Thread.sleep(20);
                    crash();
                    return Http.Reply.silent();
                }
            }
            Thread.sleep(request.target().startsWith("/orders/") ? 120 : 20);
            return Http.Reply.of(200, "done " + attempt)
                    .with("X-Attempt-Id", attempt)
                    .with("X-Backend-Signature", "s." + own);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
