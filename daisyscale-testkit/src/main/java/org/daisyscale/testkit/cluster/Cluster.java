package org.daisyscale.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;
import org.daisyscale.testkit.backend.BackendServerProgram;
import org.daisyscale.testkit.backend.BackendServerStandIn;
import org.daisyscale.testkit.backend.RunRecord;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.http.Json;
import org.daisyscale.testkit.http.JsonClient;
import org.daisyscale.testkit.platform.PlatformStandIn;
import org.tinylog.Logger;

/**
 * A platform, backend servers and routers as processes on 127.0.0.1. It ends all that it started, by their ids, and
 * nothing else. Used by one thread, but for {@link #close}.
 *
 * <pre>{@code
 * try (Cluster cluster = Cluster.start(layout, directory)) {
 *     cluster.awaitReady(Duration.ofSeconds(20));
 * }
 * }</pre>
 */
public final class Cluster implements AutoCloseable {
    private static final int CONNECTION_LIMIT = 130;
    private static final String REGION = "region1";
    private static final String HOST = "127.0.0.1";
    private static final long POLL_MILLIS = 50;

    private final ClusterLayout layout;
    private final Path directory;
    private final Queue<Integer> ports;
    private final String operatorToken = UUID.randomUUID().toString();
    private final String peerSecret = UUID.randomUUID().toString();
    private final JsonClient operator = new JsonClient(operatorToken);
    private final List<StartedProcess> processes = new CopyOnWriteArrayList<>();
    private final List<ServerNode> servers = new ArrayList<>();
    private final List<RouterNode> routers = new ArrayList<>();
    private final List<VmRecord> listed = new ArrayList<>();
    private final Map<String, RouterDetour> detours = new HashMap<>();
    private final Set<String> detouredRouters;
    private final String platformUrl;

    private Cluster(ClusterLayout layout, Path directory, Set<String> detouredRouters) {
        this.layout = layout;
        this.directory = directory;
        this.detouredRouters = Set.copyOf(detouredRouters);
        this.ports = new ArrayDeque<>(FreePorts.find(1 + 3 * routerCount() + serverCount()));
        this.platformUrl = startPlatform();
    }

    /** Starts the processes of {@code layout}, with their logs and records in {@code directory}. */
    public static Cluster start(ClusterLayout layout, Path directory) {
        return start(layout, directory, Set.of());
    }

    /** Starts the same, with relays round the routers whose ids are in {@code detouredRouters}. */
    public static Cluster start(ClusterLayout layout, Path directory, Set<String> detouredRouters) {
        Cluster cluster = new Cluster(layout, directory, detouredRouters);
        try {
            layout.dataCentres().forEach(cluster::startDataCentre);
            cluster.awaitPlatform();
            cluster.registerAll();
            return cluster;
        } catch (RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    private int routerCount() {
        return layout.dataCentres().size() * layout.routersPerDataCentre();
    }

    private int serverCount() {
        int perDataCentre = layout.groups().stream()
                .mapToInt(ServerGroup::serversPerDataCentre)
                .sum();
        return perDataCentre * layout.dataCentres().size();
    }

    private StartedProcess launch(String name, List<String> command, Map<String, String> environment) {
        StartedProcess process = StartedProcess.start(name, command, environment, directory.resolve(name + ".log"));
        processes.add(process);
        return process;
    }

    private String startPlatform() {
        int port = ports.remove();
        launch("platform", JavaCommand.of(PlatformStandIn.class, List.of("--port", "" + port)), Map.of());
        return "http://" + HOST + ":" + port;
    }

    private void startDataCentre(String dataCentre) {
        layout.groups().forEach(group -> startGroup(dataCentre, group));
        for (int index = 0; index < layout.routersPerDataCentre(); index++) {
            startRouter(dataCentre, "router-" + dataCentre + "-" + index);
        }
    }

    /** Starts one more router, which no router before it shared its id with, and puts it on the list of VMs. */
    public RouterNode addRouter(String dataCentre, String id) {
        FreePorts.find(3).forEach(ports::add);
        RouterNode router = startRouter(dataCentre, id);
        register(router);
        return router;
    }

    /** Starts one more backend server of {@code jobName} and puts it on the list of VMs. */
    public ServerNode addServer(String dataCentre, String jobName, String id) {
        FreePorts.find(1).forEach(ports::add);
        ServerNode server = startServer(dataCentre, group(jobName), id);
        register(server);
        return server;
    }

    private ServerGroup group(String jobName) {
        return layout.groups().stream()
                .filter(group -> group.jobName().equals(jobName))
                .findFirst()
                .orElseThrow();
    }

    private void startGroup(String dataCentre, ServerGroup group) {
        for (int index = 0; index < group.serversPerDataCentre(); index++) {
            startServer(dataCentre, group, group.jobName() + "-" + dataCentre + "-" + index);
        }
    }

    private ServerNode startServer(String dataCentre, ServerGroup group, String id) {
        int port = ports.remove();
        Path recordFile = directory.resolve(id + ".records");
        List<String> arguments = new ArrayList<>(List.of("--server", id, "--port", "" + port));
        arguments.addAll(List.of("--slots", "" + group.slotCount(), "--record-file", recordFile.toString()));
        arguments.addAll(List.of("--seed", "" + (layout.seed() + servers.size())));
        arguments.addAll(group.flags());
        StartedProcess process = launch(id, JavaCommand.of(BackendServerProgram.class, arguments), Map.of());
        ServerNode server = new ServerNode(id, group.jobName(), dataCentre, port, recordFile, process);
        servers.add(server);
        return server;
    }

    private RouterNode startRouter(String dataCentre, String id) {
        int callerPort = ports.remove();
        int operatorPort = ports.remove();
        int peerPort = ports.remove();
        List<String> command = new ArrayList<>(List.of(layout.routerCommand().toString()));
        command.addAll(List.of("--router-id", id, "--data-centre", dataCentre, "--region", REGION));
        command.addAll(List.of("--caller-host", HOST, "--caller-port", "" + callerPort));
        command.addAll(List.of("--operator-host", HOST, "--operator-port", "" + operatorPort));
        command.addAll(List.of("--peer-host", HOST, "--peer-port", "" + peerPort));
        command.addAll(platformFlags(id, peerPort));
        command.addAll(layout.routerFlags());
        var environment = Map.of(
                "DAISYSCALE_ENVIRONMENT", "trial",
                "DAISYSCALE_PEER_SECRET", peerSecret,
                "DAISYSCALE_OPERATOR_TOKEN", operatorToken);
        StartedProcess process = launch(id, command, environment);
        RouterNode router = new RouterNode(id, dataCentre, callerPort, operatorPort, peerPort, process);
        routers.add(router);
        return router;
    }

    private List<String> platformFlags(String routerId, int peerPort) {
        if (!detouredRouters.contains(routerId)) {
            return List.of("--platform-url", platformUrl, "--vm-list-url", platformUrl + "/vms");
        }
        RouterDetour detour = new RouterDetour(routerId, platformUrl, peerPort);
        detours.put(routerId, detour);
        listed.forEach(detour::list);
        return List.of("--platform-url", detour.platformUrl(), "--vm-list-url", detour.vmListUrl());
    }

    /** The relays round the router {@code routerId}. */
    public RouterDetour detour(String routerId) {
        return detours.get(routerId);
    }

    private void awaitPlatform() {
        await("the platform", Duration.ofSeconds(20), () -> answers(platformUrl + "/vms"));
    }

    private void registerAll() {
        servers.forEach(this::register);
        routers.forEach(this::register);
    }

    /** Puts {@code server} on the list of VMs. */
    public void register(ServerNode server) {
        int slots = group(server.jobName()).slotCount();
        post(new VmRecord(
                server.id(),
                VmRole.BACKEND_SERVER,
                server.jobName(),
                server.dataCentre(),
                HOST,
                server.port(),
                0,
                false,
                slots,
                CONNECTION_LIMIT));
    }

    private void register(RouterNode router) {
        post(new VmRecord(
                router.id(),
                VmRole.ROUTER,
                "",
                router.dataCentre(),
                HOST,
                router.callerPort(),
                seenPeerPort(router),
                false,
                0,
                0));
    }

    private int seenPeerPort(RouterNode router) {
        RouterDetour detour = detours.get(router.id());
        return detour == null ? router.peerPort() : detour.peerPort();
    }

    private void post(VmRecord vm) {
        listed.add(vm);
        detours.values().forEach(detour -> detour.list(vm));
        operator.send("POST", platformUrl + "/vms", vm);
    }

    /** Takes a VM off the list. */
    public void unregister(String vmId) {
        listed.removeIf(vm -> vm.id().equals(vmId));
        detours.values().forEach(detour -> detour.unlist(vmId));
        operator.send("DELETE", platformUrl + "/vms/" + vmId, Map.of());
    }

    /**
     * Waits until each backend server answers, each router is ready, the configuration is accepted, and every slice and
     * dispatch range has its first owner.
     */
    public void awaitReady(Duration limit) {
        servers.forEach(
                server -> await(server.id(), limit, () -> answers(server.url() + "/daisyscale/standin/records")));
        routers.forEach(router -> await(router.id(), limit, () -> answers(router.operatorUrl() + "/healthz")));
        await("a first configuration", limit, this::isConfigured);
        routers.forEach(router -> await(router.id(), limit, () -> answers(router.operatorUrl() + "/readyz")));
        routers.forEach(
                router -> await("owners at " + router.id(), limit, () -> RouterAnswers.isOwned(status(router))));
    }

    /** What {@code router} says of itself. */
    public JsonNode status(RouterNode router) {
        return Json.tree(operator.get(router.operatorUrl() + "/operator/status").body());
    }

    private boolean isConfigured() {
        return change(Map.of("documentText", layout.documentText()));
    }

    /** Changes the configuration at its newest revision; false when it was not accepted. */
    public boolean change(Map<String, Object> parts) {
        String url = routers.get(0).operatorUrl() + "/operator/configuration";
        try {
            JsonNode current = Json.tree(operator.get(url).body());
            Map<String, Object> change = new HashMap<>(parts);
            change.put("baseRevision", current.path("revision").asLong());
            change.put("author", "testkit");
            change.put("reason", "demonstration");
            change.put("summary", "set by the testkit");
            return RouterAnswers.isAccepted(operator.send("PUT", url, change));
        } catch (TestkitException e) {
            Logger.debug(e, "configuration-not-changed");
            return false;
        }
    }

    private boolean answers(String url) {
        try {
            return operator.get(url).statusCode() == 200;
        } catch (TestkitException e) {
            return false;
        }
    }

    /** Waits until {@code condition} holds, and fails when a process ends or the limit is over. */
    public void await(String what, Duration limit, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            processes.forEach(StartedProcess::requireAlive);
            if (System.nanoTime() - endNanos > 0) {
                String detail = what + " not ready after " + limit.toSeconds() + " s, logs in " + directory;
                throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, detail);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestkitException(TestkitErrorCode.PROCESS_FAILED, "interrupted", e);
        }
    }

    /** The records of each backend server, killed ones too, from their own files. */
    public List<RunRecord> records() {
        return servers.stream()
                .flatMap(server -> BackendServerStandIn.recordsIn(server.recordFile()).stream())
                .toList();
    }

    /** The routers. */
    public List<RouterNode> routers() {
        return List.copyOf(routers);
    }

    /** The backend servers. */
    public List<ServerNode> servers() {
        return List.copyOf(servers);
    }

    /** All processes. */
    public List<StartedProcess> processes() {
        return List.copyOf(processes);
    }

    /** The base address of the platform. */
    public String platformUrl() {
        return platformUrl;
    }

    /** What operators show. */
    public String operatorToken() {
        return operatorToken;
    }

    /** Ends {@code process} by SIGKILL. */
    public void kill(StartedProcess process) {
        processes.remove(process);
        process.kill();
    }

    /** Asks {@code process} to end by SIGTERM and returns its exit code; empty when it has not ended in time. */
    public OptionalInt stop(StartedProcess process, Duration limit) {
        processes.remove(process);
        process.askToStop();
        OptionalInt exitCode = process.awaitExitCode(limit);
        process.close();
        return exitCode;
    }

    /** Ends all processes and waits for their ends. */
    @Override
    public void close() {
        processes.forEach(StartedProcess::askToStop);
        processes.forEach(StartedProcess::close);
        detours.values().forEach(RouterDetour::close);
    }

    /** A port of 127.0.0.1 that was free a moment ago. */
    public static int freePort() {
        return FreePorts.find(1).get(0);
    }

    /** A new directory for logs and records. */
    public static Path newDirectory() {
        try {
            return Files.createTempDirectory("daisyscale-");
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.RECORD_FILE_FAILED, "temporary directory", e);
        }
    }
}
