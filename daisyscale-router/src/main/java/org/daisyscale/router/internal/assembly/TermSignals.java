package org.daisyscale.router.internal.assembly;

import org.daisyscale.router.internal.log.EventLog;
import sun.misc.Signal;

/** Installs the handlers of SIGTERM, SIGINT and SIGHUP. Stateless. */
public final class TermSignals {

    private TermSignals() {}

    /** Makes SIGTERM and SIGINT request a planned stop from {@code stopSignal}. */
    public static void requestStopOnTerm(StopSignal stopSignal) {
        Signal.handle(new Signal("TERM"), signal -> stopSignal.requestStop());
        Signal.handle(new Signal("INT"), signal -> stopSignal.requestStop());
    }

    /** Makes SIGHUP write a log line instead of ending the process; settings are read only at start. */
    public static void logReloadRequests() {
        Signal.handle(
                new Signal("HUP"),
                signal -> EventLog.info(
                        "reload-asked", "the settings stay in force; restart the router to read them again"));
    }
}
