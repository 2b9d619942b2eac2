package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.Event;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.settings.RouterSettings;

/** Opens the connections of a router to other routers and to the platform. Implementations are stateless. */
public interface LinkFactory {

    /** Opens the connections to other routers; received messages go to {@code events}. */
    PeerLinks openPeers(RouterSettings settings, Ring<Event> events);

    /** Opens the connection to the platform's service; its answers go to {@code events}. */
    PlatformLink openPlatform(RouterSettings settings, Ring<Event> events);

    /** Starts to read the VM list; the results go to {@code events}. */
    AutoCloseable openVmList(RouterSettings settings, Ring<Event> events);
}
