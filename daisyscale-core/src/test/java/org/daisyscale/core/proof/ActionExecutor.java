package org.daisyscale.core.proof;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.request.BackendOutcome;

/**
 * Executes the actions of one core on the fake platform, network and servers, as the threads of a router do. Not
 * thread-safe; confined to the thread of the run.
 */
final class ActionExecutor {
    private static final long PLATFORM_POLL_INTERVAL_MILLIS = 1_000;
    private static final long VM_LIST_POLL_INTERVAL_MILLIS = 500;
    private static final double PROBE_TIMEOUT_MILLIS = 100;
    private static final double GRANT_TIMEOUT_MILLIS = 300;

    private final World world;
    private final SimRouter router;
    private final Map<String, Order> orders = new HashMap<>();

    ActionExecutor(World world, SimRouter router) {
        this.world = world;
        this.router = router;
    }

    void start() {
        pollPlatform();
        pollVmList();
    }

    private void pollPlatform() {
        if (router.isLive()) {
            readMap();
            readConfiguration();
            world.scheduler().scheduleAfterMillis(PLATFORM_POLL_INTERVAL_MILLIS, this::pollPlatform);
        }
    }

    private void pollVmList() {
        if (router.isLive()) {
            router.deliver(new Event.VmListRead(world.vmList(router)));
            world.scheduler().scheduleAfterMillis(VM_LIST_POLL_INTERVAL_MILLIS, this::pollVmList);
        }
    }

    void execute(Action action) {
        if (!executePlatformAction(action) && !executeServerAction(action)) {
            executeOtherAction(action);
        }
    }

    private boolean executePlatformAction(Action action) {
        FakePlatform platform = world.platform();
        if (action instanceof Action.WriteMap write) {
            String writeId = write.map().writeId();
            Consumer<WriteOutcome> onOutcome = outcome -> router.deliver(new Event.MapWriteEnded(writeId, outcome));
            platform.write(isCutFromPlatform(), () -> platform.compareAndSwapMap(write.map()), onOutcome);
        } else if (action instanceof Action.WriteConfiguration write) {
            String writeId = write.configuration().writeId();
            platform.write(
                    isCutFromPlatform(),
                    () -> platform.compareAndSwapConfiguration(write.configuration()),
                    outcome -> router.deliver(new Event.ConfigurationWriteEnded(writeId, outcome)));
        } else if (action instanceof Action.ReadMap) {
            readMap();
        } else if (action instanceof Action.ReadConfiguration) {
            readConfiguration();
        } else if (action instanceof Action.HoldControlLease) {
            holdLease();
        } else if (action instanceof Action.ReleaseControlLease) {
            platform.call(isCutFromPlatform(), () -> releaseLease(platform), released -> {}, () -> {});
        } else {
            return false;
        }
        return true;
    }

    private boolean releaseLease(FakePlatform platform) {
        platform.releaseLease(router.id());
        return true;
    }

    private boolean isCutFromPlatform() {
        return world.network().isCut(router.id(), FakeNetwork.PLATFORM);
    }

    private void readMap() {
        world.platform()
                .call(
                        isCutFromPlatform(),
                        world.platform()::map,
                        map -> router.deliver(new Event.MapRead(map)),
                        this::reportPlatformUnreachable);
    }

    private void readConfiguration() {
        world.platform()
                .call(
                        isCutFromPlatform(),
                        world.platform()::configuration,
                        configuration -> router.deliver(new Event.ConfigurationRead(configuration)),
                        this::reportPlatformUnreachable);
    }

    private void reportPlatformUnreachable() {
        router.deliver(new Event.PlatformUnreachable("no answer in time"));
    }

    private void holdLease() {
        long requestedNanos = router.moment().nanos();
        long leaseMillis = router.settings().timing().controlLeaseMillis();
        world.platform()
                .call(
                        isCutFromPlatform(),
                        () -> world.platform().acquireOrRenewLease(router.id(), leaseMillis),
                        lease -> router.deliver(
                                lease.holder().equals(router.id())
                                        ? new Event.ControlLeaseHeld(lease.term(), requestedNanos)
                                        : new Event.ControlLeaseLost(lease.holder())),
                        this::reportPlatformUnreachable);
    }

    private boolean executeServerAction(Action action) {
        if (action instanceof Action.SendOrder send) {
            sendOrder(send);
        } else if (action instanceof Action.ProbeServer probe) {
            probe(world.server(probe.server()));
        } else if (action instanceof Action.SendGrant send) {
            sendGrant(send);
        } else {
            return false;
        }
        return true;
    }

    private void sendOrder(Action.SendOrder send) {
        if (router.moment().nanos() >= send.sendBeforeNanos()) {
            scheduleAfterNetworkDelay(() -> endOrder(send, BackendOutcome.NOT_SENT));
            return;
        }
        FakeServer server = world.server(send.permit().server());
        Order order = new Order(
                router.id() + "/" + send.requestId(),
                router.meta(send.requestId()),
                send.permit(),
                server,
                server.incarnationNumber());
        orders.put(send.permit().orderId(), order);
        if (server.isUp() && sendBetweenRouterAndServer(server, () -> deliverOrder(send, order))) {
            world.observer().recordSent(order);
            world.scheduler().scheduleAfterMillis(send.timeoutMillis(), () -> endOrder(send, BackendOutcome.TIMED_OUT));
        } else {
            scheduleAfterNetworkDelay(() -> endOrder(send, BackendOutcome.NOT_SENT));
        }
    }

    private void deliverOrder(Action.SendOrder send, Order order) {
        FakeServer server = order.target();
        if (!server.isUp() || server.incarnationNumber() != order.incarnationNumber()) {
            world.observer().recordDropped(order);
            scheduleAfterNetworkDelay(() -> endOrder(send, BackendOutcome.CONNECTION_LOST));
            return;
        }
        server.receive(() -> server.handleOrder(
                order, outcome -> sendBetweenRouterAndServer(server, () -> endOrder(send, outcome))));
    }

    private void endOrder(Action.SendOrder send, BackendOutcome outcome) {
        router.deliver(new Event.OrderEnded(send.requestId(), send.permit().orderId(), outcome, 1_000));
    }

    private void probe(FakeServer server) {
        long sentNanos = router.moment().nanos();
        boolean[] isEnded = {false};
        sendBetweenRouterAndServer(
                server,
                () -> server.receive(() -> {
                    var status = server.status();
                    sendBetweenRouterAndServer(server, () -> {
                        if (!isEnded[0]) {
                            isEnded[0] = true;
                            router.deliver(new Event.ProbeAnswered(
                                    server.id(), sentNanos, router.moment().nanos(), status));
                        }
                    });
                }));
        world.scheduler().scheduleAfterMillis(PROBE_TIMEOUT_MILLIS, () -> {
            if (!isEnded[0]) {
                isEnded[0] = true;
                router.deliver(new Event.ProbeFailed(server.id(), sentNanos));
            }
        });
    }

    private void sendGrant(Action.SendGrant send) {
        if (router.moment().nanos() >= send.sendBeforeNanos()) {
            return;
        }
        FakeServer server = world.server(send.grant().server());
        boolean[] isEnded = {false};
        sendBetweenRouterAndServer(
                server,
                () -> server.receive(() -> {
                    boolean isAccepted = server.acceptGrant(send.grant());
                    if (isAccepted) {
                        world.observer().checkGrant(server, world.servers());
                    }
                    long highest = server.highestMapVersion();
                    sendBetweenRouterAndServer(server, () -> {
                        isEnded[0] = true;
                        router.deliver(new Event.GrantAnswered(
                                server.id(), send.grant().mapVersion(), isAccepted, highest));
                    });
                }));
        world.scheduler().scheduleAfterMillis(GRANT_TIMEOUT_MILLIS, () -> {
            if (!isEnded[0]) {
                router.deliver(
                        new Event.GrantUnanswered(server.id(), send.grant().mapVersion()));
            }
        });
    }

    private boolean sendBetweenRouterAndServer(FakeServer server, Runnable arrival) {
        boolean isCut = world.network().isCut(router.id(), FakeNetwork.SERVERS)
                || world.network().isCut(router.id(), server.id());
        return !isCut && scheduleAfterNetworkDelay(arrival);
    }

    private boolean scheduleAfterNetworkDelay(Runnable task) {
        world.scheduler().scheduleAfterMillis(world.network().delayMillis(), task);
        return true;
    }

    private void executeOtherAction(Action action) {
        if (action instanceof Action.SendPeer send) {
            world.send(router, send.to(), send.message());
        } else if (action instanceof Action.ForwardAnswer answer) {
            router.answer(answer.requestId(), orders.remove(answer.orderId()));
        } else if (action instanceof Action.RefuseRequest refuse) {
            router.reject(refuse.requestId(), refuse.code());
        } else if (action instanceof Action.ConfigurationInForce inForce) {
            router.recordInForce(inForce.configuration());
        } else if (action instanceof Action.AnswerProposal answer) {
            world.operators().handleAnswer(answer);
        } else if (action instanceof Action.InvariantBroken broken) {
            world.observer().recordViolation(broken.promise(), router.id() + " says: " + broken.detail());
        } else if (action instanceof Action.StopNow) {
            router.finishStop();
        }
    }
}
