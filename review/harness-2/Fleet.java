import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback: the store, backends and routers, and the record of what was seen. */
final class Fleet implements AutoCloseable {
    /** Exit codes of a run. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;
    private static final long MAX_MILLIS = 110_000;

    final Store store;
    final Path folder;
    final List<Backend> backends = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();

    Fleet(Path recordFile) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-2-");
        store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> routers.forEach(Router::kill)));
        Http.start("limit", () -> {
            Thread.sleep(MAX_MILLIS);
            note("the run took too long");
            System.exit(CANNOT_RUN);
        });
    }

    /** Returns whether the run includes the disruption. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    void sleepUntil(double seconds) throws InterruptedException {
        long leftNanos = startNanos + (long) (seconds * 1e9) - System.nanoTime();
        if (leftNanos > 0) {
            Thread.sleep(leftNanos / 1_000_000L, (int) (leftNanos % 1_000_000L));
        }
    }

    synchronized void note(String text, Object... values) {
        String line = "%9.3f ".formatted((System.nanoTime() - startNanos) / 1e9) + text.formatted(values);
        record.println(line);
        System.out.println(line);
    }

    static List<Object> route(
            String name, String prefix, String kind, double timeoutS, double targetS, String service, int maxAttempts) {
        return new ArrayList<>(java.util.Arrays.asList(
                name, "h.example", prefix, kind, timeoutS, targetS, 1, service, maxAttempts, null));
    }

    static List<Object> service(String name, boolean isSharded) {
        return new ArrayList<>(java.util.Arrays.asList(
                name, "/health", 120, "h1", false, 3.0, 7.0, isSharded ? true : null, isSharded ? 5.0 : null,
                isSharded ? "call" : null));
    }

    void configure(int version, List<List<Object>> routes, List<List<Object>> services) {
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("Version", "r" + version);
        configuration.put(
                "Routes",
                Map.of(
                        "Columns",
                        List.of("Name", "Host", "Prefix", "Kind", "TimeoutS", "TargetLatencyS", "Priority", "Service",
                                "MaxAttempts", "TrafficSplit"),
                        "Rows",
                        routes));
        configuration.put(
                "Services",
                Map.of(
                        "Columns",
                        List.of("Name", "HealthPath", "MaxConns", "Protocol", "Tls", "ColdStartS", "ColdPerS", "Sharded",
                                "WarmupS", "Grants"),
                        "Rows",
                        services));
        configuration.put(
                "Limits",
                Map.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 67108864, "HeaderTimeoutS", 3, "IdleTimeoutS", 15));
        store.put("op/config", configuration);
    }

    Backend addBackend(String id, String service, String zone, boolean isSharded) throws Exception {
        Backend backend = new Backend(store, "127.0.0.1", id, service, zone, isSharded);
        backends.add(backend);
        return backend;
    }

    Backend add(Backend backend) {
        backends.add(backend);
        return backend;
    }

    Router addRouter(String node, String host, String zone) throws IOException {
        Router router = new Router(folder, node, host, zone, store.address());
        routers.add(router);
        router.start();
        return router;
    }

    @Override
    public void close() throws Exception {
        for (Router router : routers) {
            router.close();
        }
        for (Backend backend : backends) {
            backend.close();
        }
        if (System.getenv("KEEP_LOGS") != null) {
            for (Router router : routers) {
                Files.copy(router.log(), Path.of(System.getenv("KEEP_LOGS"), router.node() + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        store.close();
        record.close();
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
