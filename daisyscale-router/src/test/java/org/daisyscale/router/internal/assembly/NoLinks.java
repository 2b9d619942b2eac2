package org.daisyscale.router.internal.assembly;

import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.settings.RouterSettings;

/** Links without connections: they ignore each action and produce no events. */
public final class NoLinks implements LinkFactory {

    @Override
    public PeerLinks openPeers(RouterSettings settings, Ring<Event> events) {
        return new SilentPeers();
    }

    @Override
    public PlatformLink openPlatform(RouterSettings settings, Ring<Event> events) {
        return new SilentPlatform();
    }

    @Override
    public AutoCloseable openVmList(RouterSettings settings, Ring<Event> events) {
        return () -> {};
    }

    private static final class SilentPeers implements PeerLinks {

        @Override
        public void send(Action.SendPeer action) {}

        @Override
        public void updatePeer(Action.KnowPeer action) {}

        @Override
        public void close() {}
    }

    private static final class SilentPlatform implements PlatformLink {

        @Override
        public void handle(Action action) {}

        @Override
        public void close() {}
    }
}
