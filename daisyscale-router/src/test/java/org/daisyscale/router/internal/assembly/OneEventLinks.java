package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.Event;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.settings.RouterSettings;

/** Links without connections that send the core a single {@link Event.TimePassed}. */
public final class OneEventLinks implements LinkFactory {
    private final NoLinks links = new NoLinks();

    @Override
    public PeerLinks openPeers(RouterSettings settings, Ring<Event> events) {
        return links.openPeers(settings, events);
    }

    @Override
    public PlatformLink openPlatform(RouterSettings settings, Ring<Event> events) {
        return links.openPlatform(settings, events);
    }

    @Override
    public AutoCloseable openVmList(RouterSettings settings, Ring<Event> events) {
        events.offer(new Event.TimePassed());
        return links.openVmList(settings, events);
    }
}
