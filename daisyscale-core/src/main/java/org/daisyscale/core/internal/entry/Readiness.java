package org.daisyscale.core.internal.entry;

import java.util.Optional;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.RenewalAuthority;

/**
 * Decides whether this router accepts requests. It does once it has a map and a configuration, and has read the latest
 * ones from the platform's service or, in an outage, a majority of the seats has confirmed its map. In a planned stop
 * it goes on accepting for a fixed delay, so that the platform's balancer stops sending first. Not thread-safe;
 * confined to the core thread.
 */
public final class Readiness implements CoreComponent {
    private static final long BALANCER_DELAY_MILLIS = 2_000;

    private final String dataCentre;
    private final ConfigurationTracker configuration;
    private final OwnershipMapTracker maps;
    private final RenewalAuthority authority;
    private final TimerQueue timers;
    private boolean isReady;
    private boolean isStopping;
    private boolean isClosed;

    /** Creates the readiness of a router, initially not ready. */
    public Readiness(
            String dataCentre,
            ConfigurationTracker configuration,
            OwnershipMapTracker maps,
            RenewalAuthority authority,
            TimerQueue timers) {
        this.dataCentre = dataCentre;
        this.configuration = configuration;
        this.maps = maps;
        this.authority = authority;
        this.timers = timers;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.StopRequested && !isStopping) {
            isStopping = true;
            timers.schedule(now.nanosAfterMillis(BALANCER_DELAY_MILLIS), (later, laterOut) -> isClosed = true);
        }
        if (!isReady) {
            isReady = hasMapAndConfiguration() && hasCurrentState(now);
        }
    }

    private boolean hasMapAndConfiguration() {
        return configuration.current().isPresent() && maps.version() > 0;
    }

    private boolean hasCurrentState(Moment now) {
        boolean hasReadPlatform = configuration.hasReadPlatform() && maps.hasReadPlatform();
        return hasReadPlatform || authority.holds(now);
    }

    /** Returns why requests are rejected, or empty when they are accepted. */
    Optional<CoreErrorCode> rejection() {
        if (isClosed) {
            return Optional.of(CoreErrorCode.STOPPING);
        }
        return isReady ? Optional.empty() : Optional.of(CoreErrorCode.NOT_READY);
    }

    /** Returns whether the balancer should send requests here: not in a planned stop or a data centre taken out. */
    public boolean isReady() {
        boolean isOut = configuration.dataCentresOut().contains(dataCentre);
        return isReady && !isStopping && !isOut;
    }

    /** Returns whether a planned stop was requested. */
    public boolean isStopping() {
        return isStopping;
    }

    /** Returns whether requests are rejected because of a planned stop. */
    public boolean isClosed() {
        return isClosed;
    }
}
