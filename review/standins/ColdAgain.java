import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Backends become cold again while they serve; their entries say so with the next heartbeat. */
public final class ColdAgain {
    private static final double COLD_PER_S = 7;
    private static final double COLD_BURST_FACTOR = 1.5;
    private static final double COLD_SLACK = 5;
    private static final double COLD_START_S = 3;
    /** Far above the rate that a cold backend tolerates. */
    private static final int CRASH_ABOVE = 25;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private static volatile boolean isOver;

    private ColdAgain() {}

    public static void main(String[] args) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            result = run(record, folder, isTrouble);
        }
        System.exit(result);
    }

    private static int run(Record record, Path folder, boolean isTrouble) throws Exception {
        Store store = new Store(record);
        List<Backend> backends = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            backends.add(new Backend(record, Backend.newId(), "pool", "z1", false));
        }
        store.put("op/config", Configuration.of(
                7,
                List.of(
                        new Configuration.Route("/reads/", "idempotent", 0.8, 0.4, "pool", 2),
                        new Configuration.Route("/orders/", "non_idempotent", 1, 0.5, "pool", 1)),
                List.of(new Configuration.Service("pool", false))));
        Backend.beat(store, backends, new HashMap<>());
        Map<String, Long> sentNanos = new ConcurrentHashMap<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Cold> colds = new ArrayList<>();
        try (Router one = new Router(folder, "edge-1", "127.0.0.1", "z1", store.open("edge-1"));
                Router two = new Router(folder, "edge-2", "127.0.0.2", "z1", store.open("edge-2"))) {
            one.start();
            two.start();
            if (!one.awaitReady(40) || !two.awaitReady(40)) {
                record.result("the routers did not become ready");
                return 2;
            }
            Thread.sleep(5_000);
            for (int index = 0; index < 30; index++) {
                Router router = index % 2 == 0 ? one : two;
                boolean isOrder = index % 5 == 0;
                Http.daemon("consumer", () -> send(router, isOrder, record, sentNanos, served, unanswered));
            }
            Thread.sleep(6_000);
            for (int round = 0; round < 3; round++) {
                Backend backend = busiest(backends);
                long beatNanos = backend.lastBeatNanos;
                while (backend.lastBeatNanos == beatNanos) {
                    Thread.sleep(10);
                }
                Thread.sleep(100);
                if (isTrouble) {
                    colds.add(new Cold(backend, System.nanoTime()));
                    backend.becomeCold(COLD_START_S, CRASH_ABOVE);
                }
                Thread.sleep(7_000);
            }
            isOver = true;
            if (!one.isAlive() || !two.isAlive()) {
                record.result("a router ended");
                return 2;
            }
        }
        return verdict(record, colds, sentNanos, served.get(), unanswered.get());
    }

    /** Returns the backend that began the most requests in the last two seconds. */
    private static Backend busiest(List<Backend> backends) {
        long from = System.nanoTime() - 2 * SECOND_NANOS;
        return backends.stream()
                .filter(backend -> !backend.isDown())
                .max(Comparator.comparingLong(backend -> backend.runs().stream()
                        .filter(run -> run.startNanos() - from > 0)
                        .count()))
                .orElseThrow();
    }

    private record Cold(Backend backend, long sinceNanos) {}

    private static int verdict(
            Record record, List<Cold> colds, Map<String, Long> sentNanos, int served, int unanswered) {
        double bound = COLD_PER_S * COLD_BURST_FACTOR + COLD_SLACK;
        boolean isBroken = false;
        for (Cold cold : colds) {
            long most = 0;
            List<Backend.Run> runs = cold.backend().runs();
            for (Backend.Run last : runs) {
                long from = Math.max(cold.sinceNanos(), last.startNanos() - SECOND_NANOS);
                long count = runs.stream()
                        .filter(run -> run.startNanos() - from >= 0
                                && last.startNanos() - run.startNanos() >= 0
                                && sentNanos.getOrDefault(run.attempt(), 0L) - from >= 0)
                        .count();
                boolean isCold = last.startNanos() - cold.sinceNanos() >= 0
                        && last.startNanos() - cold.sinceNanos() < (long) (COLD_START_S * SECOND_NANOS);
                most = isCold ? Math.max(most, count) : most;
            }
            record.result(cold.backend().id + ": at most " + most + " requests in one second while cold (bound " + bound
                    + "), crashed: " + cold.backend().isDown());
            isBroken |= most > bound;
        }
        record.result("served: " + served + ", orders without a backend's answer: " + unanswered);
        return isBroken ? 1 : 0;
    }

    private static void send(
            Router router,
            boolean isOrder,
            Record record,
            Map<String, Long> sentNanos,
            AtomicInteger served,
            AtomicInteger unanswered) {
        Consumer consumer = new Consumer(router.ip, router.front);
        while (!isOver) {
            String attempt = Consumer.newAttempt();
            try {
                consumer.open();
                sentNanos.put(attempt, System.nanoTime());
                consumer.send(
                        isOrder ? "POST" : "GET",
                        isOrder ? "/orders/60" : "/reads/60",
                        attempt,
                        1_500,
                        Map.of(),
                        new byte[0]);
                Http.Message answer = consumer.receive(3_000);
                int status = answer == null ? 0 : answer.status();
                if (status == 200) {
                    served.incrementAndGet();
                } else if (isOrder && status != 503 && status != 429) {
                    unanswered.incrementAndGet();
                }
                record.line("consumer: " + attempt + (isOrder ? " order" : " read") + " -> " + status);
            } catch (IOException e) {
                record.line("consumer: " + attempt + " " + e);
                consumer.close();
            }
            try {
                Thread.sleep(140);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
