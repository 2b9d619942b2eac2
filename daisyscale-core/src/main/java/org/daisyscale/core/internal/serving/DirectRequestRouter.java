package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.core.serving.ServingSettings;

/** Passes each event to the component that handles it. Not thread-safe; confined to one thread. */
final class DirectRequestRouter implements RequestRouter {
    private final FleetView fleet;
    private final RequestCoordinator coordinator;

    DirectRequestRouter(ServingSettings settings) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(settings.randomSeed());
        this.fleet = new FleetView(settings);
        this.coordinator = new RequestCoordinator(fleet, random);
    }

    @Override
    public List<ServingAction> handle(ServingEvent event, long nowNanos) {
        if (event instanceof ServingEvent.RequestArrived arrived) {
            coordinator.handleArrival(arrived, nowNanos);
        } else if (event instanceof ServingEvent.AttemptEnded ended) {
            coordinator.handleAttemptEnded(ended, nowNanos);
        } else if (event instanceof ServingEvent.CallerLeft left) {
            coordinator.handleCallerLeft(left.requestId());
        } else if (event instanceof ServingEvent.HealthReported reported) {
            coordinator.handleHealth(reported, nowNanos);
        } else if (event instanceof ServingEvent.NewsReceived received) {
            coordinator.handleNews(received.news(), nowNanos);
        } else if (event instanceof ServingEvent.QuotaGranted granted) {
            coordinator.handleGrant(granted.grant(), nowNanos);
        } else if (event instanceof ServingEvent.Suspended) {
            fleet.handleSuspension(nowNanos);
            coordinator.handleSuspension(nowNanos);
        } else if (event instanceof ServingEvent.LossesRead read) {
            coordinator.handleLosses(read.losses(), nowNanos);
        } else if (event instanceof ServingEvent.StopDue) {
            coordinator.endAll();
        } else {
            applyUpdate(event, nowNanos);
        }
        coordinator.runDueTimers(nowNanos);
        return coordinator.drainActions();
    }

    private void applyUpdate(ServingEvent event, long nowNanos) {
        if (event instanceof ServingEvent.TableChanged changed) {
            applyTable(changed, nowNanos);
        } else if (event instanceof ServingEvent.ConfigurationConfirmed confirmed) {
            fleet.configuration().confirm(confirmed.confirmedNanos());
        } else if (event instanceof ServingEvent.ServersListed listed) {
            fleet.servers().replaceAll(listed.servers(), nowNanos);
        } else if (event instanceof ServingEvent.ServerChanged changed) {
            fleet.servers().put(changed.server(), fleet.withoutSuspension(changed.changedAt()), nowNanos);
        } else if (event instanceof ServingEvent.ServerRemoved removed) {
            fleet.servers().remove(removed.serverId(), nowNanos);
        } else if (event instanceof ServingEvent.EvacuationsChanged changed) {
            applyEvacuations(changed, nowNanos);
        } else if (event instanceof ServingEvent.KeyMapChanged changed) {
            applyKeyMap(changed, nowNanos);
        } else {
            applyRouters(event, nowNanos);
        }
    }

    private void applyEvacuations(ServingEvent.EvacuationsChanged changed, long nowNanos) {
        Map<String, EventTime> evacuatedAtByDataCentre = new HashMap<>(changed.evacuatedAtByDataCentre());
        evacuatedAtByDataCentre.replaceAll((dataCentre, evacuatedAt) -> fleet.withoutSuspension(evacuatedAt));
        fleet.servers().replaceEvacuations(evacuatedAtByDataCentre, this::coldStartNanos, nowNanos);
        coordinator.handleEvacuations(changed.dataCentres(), nowNanos);
    }

    private void applyRouters(ServingEvent event, long nowNanos) {
        if (event instanceof ServingEvent.RoutersChanged changed) {
            fleet.routers().replace(changed.routerIds(), nowNanos);
        } else if (event instanceof ServingEvent.RoutersConfirmed confirmed) {
            fleet.routers().confirm(confirmed.confirmedNanos());
        } else if (event instanceof ServingEvent.RegistrationRenewed renewed) {
            fleet.routers().recordRegistration(renewed.sinceNanos(), renewed.untilNanos());
        }
    }

    private void applyTable(ServingEvent.TableChanged changed, long nowNanos) {
        if (fleet.replaceTable(changed.table(), changed.source())) {
            coordinator.handleTableChanged(changed.table(), nowNanos);
        }
    }

    private void applyKeyMap(ServingEvent.KeyMapChanged changed, long nowNanos) {
        if (fleet.replaceKeyMap(changed.map(), nowNanos)) {
            coordinator.placePending(changed.map().service(), nowNanos);
        }
    }

    private long coldStartNanos(BackendServer server) {
        return fleet.rules(server.service()).map(ServiceRules::coldStartMillis).orElse(0L) * 1_000_000L;
    }

    @Override
    public long nextDueNanos() {
        return coordinator.nextDueNanos();
    }
}
