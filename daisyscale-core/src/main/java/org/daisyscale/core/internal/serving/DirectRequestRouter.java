package org.daisyscale.core.internal.serving;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.core.serving.ServingSettings;

/** Hands each event to the part that it concerns. Owned by one thread. */
final class DirectRequestRouter implements RequestRouter {
    private final FleetView fleet;
    private final RequestDesk desk;

    DirectRequestRouter(ServingSettings settings) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(settings.randomSeed());
        this.fleet = new FleetView(settings);
        this.desk = new RequestDesk(fleet, random);
    }

    @Override
    public List<ServingAction> handle(ServingEvent event, long nowNanos) {
        if (event instanceof ServingEvent.RequestArrived arrived) {
            desk.arrived(arrived, nowNanos);
        } else if (event instanceof ServingEvent.AttemptEnded ended) {
            desk.attemptEnded(ended, nowNanos);
        } else if (event instanceof ServingEvent.CallerLeft left) {
            desk.callerLeft(left.requestId());
        } else {
            learn(event, nowNanos);
        }
        desk.runDue(nowNanos);
        return desk.drain();
    }

    private void learn(ServingEvent event, long nowNanos) {
        if (event instanceof ServingEvent.TableChanged changed) {
            learnTable(changed);
        } else if (event instanceof ServingEvent.ServersListed listed) {
            fleet.servers().replaceAll(listed.servers(), nowNanos);
        } else if (event instanceof ServingEvent.ServerChanged changed) {
            fleet.servers().put(changed.server(), nowNanos);
        } else if (event instanceof ServingEvent.ServerRemoved removed) {
            fleet.servers().remove(removed.serverId(), nowNanos);
        } else if (event instanceof ServingEvent.EvacuationsChanged changed) {
            fleet.servers().evacuate(changed.dataCentres(), this::coldNanos, nowNanos);
        } else if (event instanceof ServingEvent.KeyMapChanged changed) {
            learnKeyMap(changed, nowNanos);
        } else if (event instanceof ServingEvent.RoutersChanged changed) {
            fleet.routers().replace(changed.routerIds(), nowNanos);
        } else if (event instanceof ServingEvent.RoutersConfirmed) {
            fleet.routers().confirm(nowNanos);
        } else if (event instanceof ServingEvent.RegistrationRenewed renewed) {
            fleet.routers().registered(renewed.sinceNanos(), renewed.untilNanos());
        }
    }

    private void learnTable(ServingEvent.TableChanged changed) {
        if (fleet.replaceTable(changed.table())) {
            desk.tableChanged(changed.table());
        }
    }

    private void learnKeyMap(ServingEvent.KeyMapChanged changed, long nowNanos) {
        if (fleet.replaceKeyMap(changed.map())) {
            desk.placeWaiting(changed.map().service(), nowNanos);
        }
    }

    private long coldNanos(BackendServer server) {
        return fleet.rules(server.service()).map(ServiceRules::coldStartMillis).orElse(0L) * 1_000_000L;
    }

    @Override
    public long nextDueNanos() {
        return desk.nextDueNanos();
    }
}
