package org.daisyscale.router.serving;

import org.daisyscale.router.internal.assembly.StopSignal;
import org.daisyscale.router.internal.assembly.TermSignals;
import org.daisyscale.router.internal.log.LogFormat;
import org.daisyscale.router.internal.log.LogSetup;
import org.daisyscale.router.internal.serving.ServingAssembly;

/**
 * A router that assigns requests to backend servers itself, for a platform that an adapter describes. Runs until a
 * signal requests the stop.
 *
 * <pre>{@code
 * ServingRouter.run(settings, dialect);
 * }</pre>
 */
public final class ServingRouter {

    private ServingRouter() {}

    /** Sets up the log; must be called before the first line is logged. */
    public static void setUpLog() {
        LogSetup.configure(LogFormat.JSON, "info");
    }

    /** Runs the router until SIGTERM or SIGINT. */
    public static void run(ServingRouterSettings settings, PlatformDialect dialect) throws InterruptedException {
        StopSignal stopSignal = new StopSignal();
        TermSignals.requestStopOnTerm(stopSignal);
        TermSignals.logReloadRequests();
        new ServingAssembly(settings, dialect).runUntilStopped(stopSignal);
    }
}
