package org.daisyscale.testkit.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.daisyscale.testkit.cluster.Cluster;
import org.daisyscale.testkit.cluster.ClusterLayout;
import org.daisyscale.testkit.cluster.RouterNode;
import org.daisyscale.testkit.cluster.ServerGroup;
import org.daisyscale.testkit.cluster.ServerNode;
import org.daisyscale.testkit.cluster.StartedProcess;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.http.Json;
import org.daisyscale.testkit.http.JsonClient;
import org.daisyscale.testkit.platform.Faults;
import org.junit.jupiter.api.extension.ExtensionContext.Store.CloseableResource;

/** One set of real processes that all proofs share; whoever ends a process starts another in its place. */
final class ProofCluster implements CloseableResource, AutoCloseable {
    static final Duration LIMIT = Duration.ofSeconds(90);
    static final String DETOURED_ROUTER = "router-dc1-0";
    static final String LATE_ROUTER = "router-late";
    private static final int SLOTS = 3;
    private static final List<String> DATA_CENTRES = List.of("dc1", "dc2", "dc3");

    private final Cluster cluster;
    private final JsonClient operator;
    private int addedCount;

    ProofCluster() throws IOException {
        cluster = Cluster.start(layout(), Cluster.newDirectory(), Set.of(DETOURED_ROUTER, LATE_ROUTER));
        operator = new JsonClient(cluster.operatorToken());
        try {
            cluster.awaitReady(LIMIT);
            awaitSettled();
        } catch (RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    private static ClusterLayout layout() throws IOException {
        Path root = Path.of("..").toAbsolutePath().normalize();
        String document = Files.readString(root.resolve("examples/rijnland.yaml"));
        List<ServerGroup> groups = List.of(
                new ServerGroup(ProofLoad.LOOKUP_JOB, 1, SLOTS, List.of("--service", "/=4:exponential")),
                new ServerGroup(ProofLoad.PAYMENT_JOB, 1, SLOTS, List.of("--service", "/=10:exponential")),
                new ServerGroup(ProofLoad.UPLOAD_JOB, 1, SLOTS, List.of("--service", "/=30:exponential")),
                new ServerGroup(ProofLoad.CONFIRMATION_JOB, 1, SLOTS, List.of("--service", "/=8:exponential")));
        return new ClusterLayout(
                DATA_CENTRES, 1, groups, root.resolve("bin/daisyscale-router"), List.of(), document, 1);
    }

    Cluster cluster() {
        return cluster;
    }

    List<RouterNode> liveRouters() {
        return cluster.routers().stream()
                .filter(router -> router.process().isAlive())
                .toList();
    }

    List<ServerNode> liveServers(String jobName) {
        return cluster.servers().stream()
                .filter(server ->
                        server.jobName().equals(jobName) && server.process().isAlive())
                .toList();
    }

    RouterNode detouredRouter() {
        return router(DETOURED_ROUTER).orElseThrow();
    }

    Optional<RouterNode> router(String id) {
        return liveRouters().stream().filter(router -> router.id().equals(id)).findFirst();
    }

    /** Waits until each live router is ready, each slice and range has its owner, and each live server is reached. */
    void awaitSettled() {
        await(
                "settled routers",
                () -> isSettled(liveRouters().stream()
                        .map(this::status)
                        .flatMap(Optional::stream)
                        .toList()));
    }

    private boolean isSettled(List<JsonNode> statuses) {
        return statuses.size() == liveRouters().size()
                && statuses.stream().allMatch(this::isSettled)
                && reachedServers(statuses).containsAll(liveServerIds());
    }

    private boolean isSettled(JsonNode status) {
        boolean isMapSettled = all(status.path("slices"), part -> isOwned(part, "server"))
                && all(status.path("ranges"), part -> isOwned(part, "router"));
        long heardCount = parts(status.path("peers"))
                .filter(peer -> peer.path("isHeard").asBoolean())
                .count();
        return status.path("isReady").asBoolean()
                && status.path("isPlatformReachable").asBoolean()
                && isMapSettled
                && heardCount >= liveRouters().size() - 1;
    }

    private static Set<String> reachedServers(List<JsonNode> statuses) {
        return statuses.stream()
                .flatMap(status -> parts(status.path("servers")))
                .filter(server -> server.path("isReachable").asBoolean())
                .map(server -> server.path("server").asText())
                .collect(Collectors.toSet());
    }

    private List<String> liveServerIds() {
        return cluster.servers().stream()
                .filter(server -> server.process().isAlive())
                .map(ServerNode::id)
                .toList();
    }

    private boolean isOwned(JsonNode part, String owner) {
        String id = part.path(owner).asText();
        boolean isLive =
                cluster.processes().stream().anyMatch(process -> process.name().equals(id));
        return part.path("predecessor").asText().isEmpty() && isLive;
    }

    private static boolean all(JsonNode list, Predicate<JsonNode> condition) {
        return list.size() > 0 && parts(list).allMatch(condition);
    }

    private static Stream<JsonNode> parts(JsonNode list) {
        return StreamSupport.stream(list.spliterator(), false);
    }

    /** What a router says of itself; empty when it does not answer. */
    Optional<JsonNode> status(RouterNode router) {
        return get(router.operatorUrl() + "/operator/status")
                .filter(answer -> answer.statusCode() == 200)
                .map(answer -> Json.tree(answer.body()));
    }

    Optional<HttpResponse<byte[]>> get(String url) {
        try {
            return Optional.of(operator.get(url));
        } catch (TestkitException e) {
            return Optional.empty();
        }
    }

    HttpResponse<byte[]> put(String url, Object body) {
        return operator.send("PUT", url, body);
    }

    int readiness(RouterNode router) {
        return get(router.operatorUrl() + "/readyz")
                .map(HttpResponse::statusCode)
                .orElse(0);
    }

    /** The router that dispatches {@code service}, by the newest map that a router knows. */
    RouterNode dispatcherOf(String service) {
        JsonNode ranges = status(liveRouters().get(0)).orElseThrow().path("ranges");
        String id = parts(ranges)
                .filter(range -> range.path("service").asText().equals(service))
                .map(range -> range.path("router").asText())
                .findFirst()
                .orElseThrow();
        return router(id).orElseThrow();
    }

    void platformFaults(Faults faults) {
        put(cluster.platformUrl() + "/standin/faults", faults);
    }

    /** Puts a new router in the place of one that has ended. */
    RouterNode replace(RouterNode ended) {
        cluster.unregister(ended.id());
        return cluster.addRouter(ended.dataCentre(), "router-" + ended.dataCentre() + "-" + newNumber());
    }

    /** Puts a new backend server in the place of one that has ended. */
    ServerNode replace(ServerNode ended) {
        cluster.unregister(ended.id());
        return cluster.addServer(ended.dataCentre(), ended.jobName(), ended.id() + "-" + newNumber());
    }

    private int newNumber() {
        return ++addedCount;
    }

    void await(String what, BooleanSupplier condition) {
        cluster.await(what, LIMIT, condition);
    }

    void freezeFor(StartedProcess process, Duration duration) throws InterruptedException {
        process.freeze();
        try {
            Thread.sleep(duration.toMillis());
        } finally {
            process.thaw();
        }
    }

    @Override
    public void close() {
        cluster.close();
    }
}
