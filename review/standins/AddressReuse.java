import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend of one sharded service ends, and its address goes to a new backend of another sharded service. */
public final class AddressReuse {
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final long REUSE_AFTER_MILLIS = 2_050;
    private static final long MAX_OVERLAP_NANOS = 500_000_000L;
    private static final int ROUNDS = 3;

    private static volatile boolean isOver;

    private AddressReuse() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            result = new Case(record, folder, isTrouble).run();
        }
        System.exit(result);
    }

    private static final class Case {
        private final Record record;
        private final Path folder;
        private final boolean isTrouble;
        private final Store store;
        private final List<Backend> backends = new CopyOnWriteArrayList<>();
        private final AtomicInteger served = new AtomicInteger();

        Case(Record record, Path folder, boolean isTrouble) {
            this.record = record;
            this.folder = folder;
            this.isTrouble = isTrouble;
            this.store = new Store(record);
        }

        int run() throws Exception {
            for (int index = 0; index < 6; index++) {
                start("stock", 0);
                start("tours", 0);
            }
            store.put("op/config", Configuration.of(
                    7,
                    List.of(
                            new Configuration.Route("/stock/", "idempotent", 0.8, 0.4, "stock", 2),
                            new Configuration.Route("/tours/", "idempotent", 0.8, 0.4, "tours", 2)),
                    List.of(new Configuration.Service("stock", true), new Configuration.Service("tours", true))));
            try (Router one = new Router(folder, "edge-1", "127.0.0.1", "z1", store.open("edge-1"));
                    Router two = new Router(folder, "edge-2", "127.0.0.2", "z1", store.open("edge-2"))) {
                one.start();
                two.start();
                if (!one.awaitReady(40) || !two.awaitReady(40)) {
                    record.result("the routers did not become ready");
                    return 2;
                }
                Thread.sleep(3_000);
                for (int index = 0; index < 8; index++) {
                    Router router = index % 2 == 0 ? one : two;
                    String path = index % 4 < 2 ? "/stock/40" : "/tours/40";
                    int seed = index;
                    Http.daemon("consumer", () -> send(router, path, new Random(seed)));
                }
                Thread.sleep(9_000);
                for (int round = 0; round < ROUNDS; round++) {
                    reuse();
                    Thread.sleep(7_000);
                }
                isOver = true;
                if (!one.isAlive() || !two.isAlive()) {
                    record.result("a router ended");
                    return 2;
                }
            }
            return verdict();
        }

        private Backend start(String service, int port) throws IOException {
            Backend backend = new Backend(record, Backend.newId(), service, "z1", true, port);
            backends.add(backend);
            record.line(backend.id + ": starts as a backend of " + service + " at port " + backend.port());
            Http.daemon("beat", () -> beat(backend));
            return backend;
        }

        /** Writes the backend's entry at each heartbeat; the entry goes three heartbeats after the last one. */
        private void beat(Backend backend) {
            while (!backend.isDown()) {
                store.put("servers/" + backend.id, backend.entry("ready"));
                backend.lastBeatNanos = System.nanoTime();
                sleep(HEARTBEAT_MILLIS);
            }
            sleep(Math.max(0, 3 * HEARTBEAT_MILLIS - (System.nanoTime() - backend.lastBeatNanos) / 1_000_000L));
            store.delete("servers/" + backend.id);
            record.line(backend.id + ": its entry is removed");
        }

        /** Ends a backend whose grants were renewed just before, and gives its address to the other service. */
        private void reuse() throws Exception {
            Backend ending = null;
            long endNanos = System.nanoTime() + 4_000_000_000L;
            while (ending == null && System.nanoTime() - endNanos < 0) {
                Thread.sleep(5);
                ending = backends.stream()
                        .filter(backend -> backend.service.equals("stock") && !backend.isDown())
                        .filter(backend -> backend.wasJustRenewed(60))
                        .findFirst()
                        .orElse(null);
            }
            if (isTrouble && ending != null) {
                ending.crash();
                sleep(REUSE_AFTER_MILLIS);
                start("tours", ending.port());
            }
        }

        private void send(Router router, String path, Random random) {
            Consumer consumer = new Consumer(router.ip, router.front);
            while (!isOver) {
                String attempt = Consumer.newAttempt();
                try {
                    consumer.open();
                    String key = Integer.toString(random.nextInt(65_536));
                    consumer.send("GET", path, attempt, 1_500, Map.of("X-Shard-Key", key), new byte[0]);
                    Http.Message answer = consumer.receive(3_000);
                    if (answer != null && answer.status() == 200) {
                        served.incrementAndGet();
                    }
                } catch (IOException e) {
                    consumer.close();
                }
                sleep(200);
            }
        }

        private int verdict() {
            long longest = 0;
            long endNanos = System.nanoTime();
            List<String> findings = new ArrayList<>();
            for (int one = 0; one < backends.size(); one++) {
                for (int two = one + 1; two < backends.size(); two++) {
                    if (backends.get(one).service.equals(backends.get(two).service)) {
                        longest = Math.max(longest, overlap(backends.get(one), backends.get(two), endNanos, findings));
                    }
                }
            }
            findings.stream().limit(12).forEach(record::result);
            record.result("served: %d; two backends of one service held the same keys for %.3f s at most (bound 0.5 s)"
                    .formatted(served.get(), longest / 1e9));
            return longest > MAX_OVERLAP_NANOS ? 1 : 0;
        }

        private static long overlap(Backend one, Backend two, long endNanos, List<String> findings) {
            long longest = 0;
            for (Backend.Hold first : one.holds()) {
                for (Backend.Hold second : two.holds()) {
                    if (first.from <= second.to && second.from <= first.to) {
                        long from = Math.max(first.sinceNanos, second.sinceNanos);
                        long to = Math.min(endNanos, Math.min(first.untilNanos, second.untilNanos));
                        longest = Math.max(longest, to - from);
                        if (to - from > MAX_OVERLAP_NANOS) {
                            findings.add("%s: %s holds %d-%d (generation %d) and %s holds %d-%d (generation %d) for %.3f s"
                                    .formatted(
                                            one.service,
                                            one.id,
                                            first.from,
                                            first.to,
                                            first.fence,
                                            two.id,
                                            second.from,
                                            second.to,
                                            second.fence,
                                            (to - from) / 1e9));
                        }
                    }
                }
            }
            return longest;
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
