package org.daisyscale.core.proof;

import java.util.List;
import java.util.function.IntConsumer;

/**
 * Injects the faults of a schedule into a world and ends each after its duration. Not thread-safe; confined to the
 * thread of the run.
 */
final class Injector {
    private static final long STOP_LIMIT_MILLIS = 30_000;

    private final World world;

    Injector(World world) {
        this.world = world;
    }

    void inject(List<Fault> faults) {
        faults.forEach(fault ->
                world.scheduler().scheduleAt(fault.atMillis() * VirtualScheduler.NANOS_PER_MILLI, () -> begin(fault)));
    }

    private void begin(Fault fault) {
        if (beginPlatformOrLinkFault(fault)
                || beginServerFault(fault)
                || beginRouterFault(fault)
                || beginCut(fault)
                || beginOperatorFault(fault)) {
            world.observer().recordFault(fault.kind());
        }
    }

    private boolean beginPlatformOrLinkFault(Fault fault) {
        FakePlatform platform = world.platform();
        return switch (fault.kind()) {
            case STORE_OUTAGE, STORE_LONG_OUTAGE -> applyForDuration(fault, platform::adjustOutages);
            case STORE_SLOW -> applyForDuration(fault, platform::adjustSlowdowns);
            case STORE_LOST_ANSWERS -> applyForDuration(fault, platform::adjustAnswerLosses);
            case STORE_LATE_WRITES -> applyForDuration(fault, platform::adjustWriteDelays);
            case LINK_CHAOS -> applyForDuration(fault, world.network()::adjustChaos);
            default -> false;
        };
    }

    private boolean applyForDuration(Fault fault, IntConsumer adjustment) {
        adjustment.accept(1);
        world.scheduler().scheduleAfterMillis(fault.lastsMillis(), () -> adjustment.accept(-1));
        return true;
    }

    private boolean beginServerFault(Fault fault) {
        FakeServer server = pick(world.servers(), fault);
        return switch (fault.kind()) {
            case CRASH_SERVER, QUICK_RESTART_SERVER -> applyForDuration(fault, delta -> crash(server, delta > 0));
            case FREEZE_SERVER -> applyForDuration(fault, delta -> freeze(server, delta > 0));
            case DRAIN_SERVER -> applyForDuration(fault, delta -> server.setDraining(delta > 0));
            case LEAVING_SERVER -> applyForDuration(fault, delta -> world.setLeaving(server.id(), delta > 0));
            default -> false;
        };
    }

    private static void crash(FakeServer server, boolean shouldCrash) {
        if (shouldCrash) {
            server.crash();
        } else {
            server.restart();
        }
    }

    private static void freeze(FakeServer server, boolean shouldFreeze) {
        if (shouldFreeze) {
            server.freeze();
        } else {
            server.thaw();
        }
    }

    private boolean beginRouterFault(Fault fault) {
        SimRouter selected = pick(world.liveRouters(), fault);
        return switch (fault.kind()) {
            case KILL_ROUTER -> kill(fault, selected);
            case KILL_CONTROLLER -> kill(fault, controller(selected));
            case KILL_DISPATCHER -> kill(fault, dispatcher(selected, fault));
            case STOP_ROUTER -> stop(selected);
            case FREEZE_ROUTER -> freeze(fault, selected);
            case FREEZE_CONTROLLER -> freeze(fault, controller(selected));
            case FREEZE_DISPATCHER -> freeze(fault, dispatcher(selected, fault));
            case REPLACE_ALL_ROUTERS -> replaceAll();
            case LOSE_DATA_CENTRE -> loseDataCentre(fault);
            default -> false;
        };
    }

    private boolean kill(Fault fault, SimRouter router) {
        router.kill();
        world.scheduler().scheduleAfterMillis(fault.lastsMillis(), () -> world.addRouter(router.dataCentre()));
        return true;
    }

    private boolean stop(SimRouter router) {
        router.requestStop();
        world.setLeaving(router.id(), true);
        world.addRouter(router.dataCentre());
        world.scheduler().scheduleAfterMillis(STOP_LIMIT_MILLIS, router::kill);
        return true;
    }

    private boolean freeze(Fault fault, SimRouter router) {
        router.freeze();
        world.scheduler().scheduleAfterMillis(fault.lastsMillis(), router::thaw);
        return true;
    }

    private boolean replaceAll() {
        for (SimRouter router : world.liveRouters()) {
            router.kill();
            world.addRouter(router.dataCentre());
        }
        return true;
    }

    private boolean loseDataCentre(Fault fault) {
        String dataCentre = dataCentre(fault);
        world.liveRouters().stream()
                .filter(router -> router.dataCentre().equals(dataCentre))
                .forEach(router -> kill(fault, router));
        world.servers().stream()
                .filter(server -> server.dataCentre().equals(dataCentre))
                .forEach(server -> applyForDuration(fault, delta -> crash(server, delta > 0)));
        return true;
    }

    private boolean beginCut(Fault fault) {
        List<SimRouter> peers = world.liveRouters();
        SimRouter selected = pick(peers, fault);
        return switch (fault.kind()) {
            case CUT_ROUTER -> applyForDuration(fault, delta -> cutAll(selected, peers, fault, delta));
            case CUT_CONTROLLER -> {
                SimRouter controller = controller(selected);
                yield applyForDuration(fault, delta -> cutAll(controller, peers, fault, delta));
            }
            case CUT_DATA_CENTRE -> applyForDuration(fault, delta -> cutDataCentre(dataCentre(fault), peers, delta));
            case ONE_WAY_CUT -> applyForDuration(fault, delta -> cutOneWay(selected, peers, delta));
            case ROUTER_CUT_FROM_PLATFORM ->
                applyForDuration(fault, delta -> cutFrom(selected, FakeNetwork.PLATFORM, delta));
            case ROUTER_CUT_FROM_SERVERS ->
                applyForDuration(fault, delta -> cutFrom(selected, FakeNetwork.SERVERS, delta));
            case DISPATCHER_CUT_FROM_SERVERS -> {
                SimRouter dispatcher = dispatcher(selected, fault);
                yield applyForDuration(fault, delta -> cutFrom(dispatcher, FakeNetwork.SERVERS, delta));
            }
            default -> false;
        };
    }

    private void cutAll(SimRouter router, List<SimRouter> peers, Fault fault, int delta) {
        router.recordDisturbance();
        for (SimRouter peer : peers) {
            if (peer != router) {
                world.adjustCuts(router, peer, delta);
                world.adjustCuts(peer, router, delta);
            }
        }
        if (fault.target() % 2 == 0) {
            cutFrom(router, FakeNetwork.PLATFORM, delta);
        }
    }

    /**
     * Isolates a data centre: cuts its routers from the platform, and all routers from the routers and servers on the
     * other side.
     */
    private void cutDataCentre(String dataCentre, List<SimRouter> routers, int delta) {
        for (SimRouter router : routers) {
            boolean isInside = router.dataCentre().equals(dataCentre);
            router.recordDisturbance();
            if (isInside) {
                world.network().adjustCuts(router.id(), FakeNetwork.PLATFORM, delta);
            }
            world.servers().stream()
                    .filter(server -> server.dataCentre().equals(dataCentre) != isInside)
                    .forEach(server -> world.network().adjustCuts(router.id(), server.id(), delta));
            routers.stream()
                    .filter(peer -> peer.dataCentre().equals(dataCentre) != isInside)
                    .forEach(peer -> world.adjustCuts(router, peer, delta));
        }
    }

    private void cutOneWay(SimRouter router, List<SimRouter> peers, int delta) {
        router.recordDisturbance();
        peers.stream().filter(peer -> peer != router).forEach(peer -> world.adjustCuts(router, peer, delta));
    }

    private void cutFrom(SimRouter router, String target, int delta) {
        router.recordDisturbance();
        world.network().adjustCuts(router.id(), target, delta);
    }

    private boolean beginOperatorFault(Fault fault) {
        Operators operators = world.operators();
        String server = pick(world.servers(), fault).id();
        return switch (fault.kind()) {
            case DATA_CENTRE_OUT ->
                applyForDuration(fault, delta -> operators.setDataCentreOut(dataCentre(fault), delta > 0));
            case OPERATOR_DRAIN -> applyForDuration(fault, delta -> operators.setServerDrained(server, delta > 0));
            case RACING_OPERATORS ->
                applyForDuration(fault, delta -> {
                    operators.setDataCentreOut(dataCentre(fault), delta > 0);
                    operators.setServerDrained(server, delta > 0);
                });
            default -> false;
        };
    }

    private SimRouter controller(SimRouter fallback) {
        SimRouter controller = world.router(world.platform().leaseHolder());
        return controller != null && controller.isLive() ? controller : fallback;
    }

    private SimRouter dispatcher(SimRouter fallback, Fault fault) {
        return world.platform().map().ranges().stream()
                .skip(fault.target() % 3)
                .map(range -> world.router(range.router()))
                .filter(SimRouter::isLive)
                .findFirst()
                .orElse(fallback);
    }

    private static String dataCentre(Fault fault) {
        return ProofEnvironment.DATA_CENTRES.get(fault.target() % ProofEnvironment.DATA_CENTRES.size());
    }

    private static <T> T pick(List<T> candidates, Fault fault) {
        return candidates.get(fault.target() % candidates.size());
    }
}
