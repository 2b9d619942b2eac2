package org.daisyscale.router.internal.serving;

import java.util.Locale;
import java.util.Optional;
import org.daisyscale.core.serving.ServingEvent;

/** A step of a starting router. The steps ending in {@code IN_FORCE} are those of the decisions. */
enum StartStep {
    CONFIGURATION_KNOWN,
    EVACUATIONS_KNOWN,
    SERVERS_KNOWN,
    ROUTERS_KNOWN,
    FIRST_REQUEST,
    FIRST_SERVER_IN_FORCE,
    CONFIGURATION_IN_FORCE,
    EVACUATIONS_IN_FORCE,
    KEY_MAP_IN_FORCE,
    FIRST_ATTEMPT,
    READY;

    /** Returns the step that is done with the first {@code event} that the decisions handle. */
    static Optional<StartStep> of(ServingEvent event) {
        if (event instanceof ServingEvent.RequestArrived) {
            return Optional.of(FIRST_REQUEST);
        }
        if (event instanceof ServingEvent.TableChanged) {
            return Optional.of(CONFIGURATION_IN_FORCE);
        }
        if (event instanceof ServingEvent.EvacuationsChanged) {
            return Optional.of(EVACUATIONS_IN_FORCE);
        }
        if (event instanceof ServingEvent.KeyMapChanged) {
            return Optional.of(KEY_MAP_IN_FORCE);
        }
        return event instanceof ServingEvent.ServerChanged ? Optional.of(FIRST_SERVER_IN_FORCE) : Optional.empty();
    }

    /** Returns the step's name in metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
