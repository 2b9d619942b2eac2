package org.daisyscale.core.internal;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.CoreSettings;
import org.daisyscale.core.RenewalMode;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.control.Controller;
import org.daisyscale.core.internal.control.ControllerLink;
import org.daisyscale.core.internal.control.FleetReports;
import org.daisyscale.core.internal.control.Leadership;
import org.daisyscale.core.internal.dispatch.DispatchContext;
import org.daisyscale.core.internal.dispatch.Dispatcher;
import org.daisyscale.core.internal.entry.EntryRouter;
import org.daisyscale.core.internal.entry.RangeFinder;
import org.daisyscale.core.internal.entry.Readiness;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.DispatchDuties;
import org.daisyscale.core.internal.ownership.GrantIssuer;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.RenewalAuthority;
import org.daisyscale.core.internal.ownership.ServerTable;
import org.daisyscale.core.internal.ownership.ServiceReadAuthority;
import org.daisyscale.core.internal.ownership.Witness;
import org.daisyscale.core.internal.ownership.WitnessAuthority;
import org.daisyscale.core.internal.status.PlannedStop;
import org.daisyscale.core.internal.status.StatusReporter;
import org.daisyscale.core.internal.suspect.SuspectRegistry;

/**
 * Creates and connects the components of a core. Components that hold state precede those that decide from it, so that
 * decisions about an event see the state after that event. Stateless.
 */
public final class CoreAssembly {
    private static final long LONG_HORIZON_MILLIS = 65_000;

    private CoreAssembly() {}

    /** Returns the components of a core with {@code settings}, in the order in which they receive each event. */
    public static List<CoreComponent> assemble(CoreSettings settings, RenewalMode renewalMode, TimerQueue timers) {
        String routerId = settings.routerId();
        TimingSettings timing = settings.timing();
        ConfigurationTracker configuration = new ConfigurationTracker();
        Roster roster = new Roster(routerId, configuration);
        OwnershipMapTracker maps = new OwnershipMapTracker();
        Witness witness = new Witness(routerId, timing, roster, maps, configuration, timers);
        RenewalAuthority authority = authority(renewalMode, witness, timing, timers);
        ServerTable servers = new ServerTable(timing);
        Leadership leadership = new Leadership(routerId, timing, timers);
        FleetReports reports = new FleetReports(maps);
        ControllerLink controllerLink = new ControllerLink(routerId, leadership, roster);
        DispatchDuties duties = new DispatchDuties(routerId, roster, maps, witness, authority, configuration);
        Controller controller = new Controller(
                routerId, timing, leadership, maps, witness, authority, roster, configuration, reports, timers);
        GrantIssuer grantIssuer = new GrantIssuer(
                timing, roster, maps, authority, servers, duties, configuration, controllerLink, timers);
        DispatchContext context =
                new DispatchContext(settings.dispatch(), timing, roster, maps, servers, duties, configuration);
        Dispatcher dispatcher = new Dispatcher(routerId, context, controllerLink, timers);
        Readiness readiness = new Readiness(settings.dataCentre(), configuration, maps, authority, timers);
        SuspectRegistry suspects = new SuspectRegistry(roster);
        RangeFinder finder = new RangeFinder(maps, duties, witness);
        EntryRouter entry = new EntryRouter(configuration, finder, readiness, suspects, timers, settings.seed());
        StatusReporter status = new StatusReporter(
                settings,
                new StatusReporter.Sources(
                        roster, configuration, maps, witness, leadership, reports, dispatcher, entry, readiness));
        PlannedStop stop = new PlannedStop(readiness, entry, dispatcher, witness, roster, timers);
        return inOrder(
                authority,
                configuration,
                roster,
                maps,
                witness,
                servers,
                leadership,
                reports,
                controller,
                grantIssuer,
                dispatcher,
                readiness,
                suspects,
                entry,
                status,
                stop);
    }

    /** Returns the components in order, preceded by the authority if that is a component as well. */
    private static List<CoreComponent> inOrder(RenewalAuthority authority, CoreComponent... others) {
        List<CoreComponent> components = new ArrayList<>();
        if (authority instanceof CoreComponent component) {
            components.add(component);
        }
        components.addAll(List.of(others));
        return components;
    }

    private static RenewalAuthority authority(
            RenewalMode renewalMode, Witness witness, TimingSettings timing, TimerQueue timers) {
        return switch (renewalMode) {
            case WITNESS -> new WitnessAuthority(witness, timing);
            case SERVICE_ONLY -> new ServiceReadAuthority(timing.witnessPeriodMillis(), timers);
            case LONG_HORIZON -> new ServiceReadAuthority(LONG_HORIZON_MILLIS, timers);
        };
    }
}
