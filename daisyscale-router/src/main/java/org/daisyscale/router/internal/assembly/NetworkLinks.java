package org.daisyscale.router.internal.assembly;

import java.net.URI;
import java.time.Duration;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.router.internal.http.HttpCaller;
import org.daisyscale.router.internal.peer.PeerNetwork;
import org.daisyscale.router.internal.peer.PeerSecret;
import org.daisyscale.router.internal.peer.PeerSettings;
import org.daisyscale.router.internal.platform.EmbeddedPlatformService;
import org.daisyscale.router.internal.platform.EtcdPlatformService;
import org.daisyscale.router.internal.platform.PlatformDuties;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.settings.PlatformSettings;
import org.daisyscale.router.internal.settings.RouterSettings;
import org.daisyscale.router.internal.vmlist.VmListDuty;
import org.daisyscale.router.internal.vmlist.VmListSource;

/**
 * Opens the network links of a router: peers over TCP, the platform's service over HTTP or embedded in this process.
 * Immutable.
 */
public final class NetworkLinks implements LinkFactory {
    private static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(800);
    private static final Duration VM_LIST_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_VM_LIST_BYTES = 8 << 20;
    private static final long VM_LIST_INTERVAL_MILLIS = 500;

    private final JsonCodec json;
    private final PeerCodec peerCodec;

    /** Creates a factory whose links encode with the given codecs. */
    public NetworkLinks(JsonCodec json, PeerCodec peerCodec) {
        this.json = json;
        this.peerCodec = peerCodec;
    }

    @Override
    public PeerLinks openPeers(RouterSettings settings, Ring<Event> events) {
        PeerSettings peerSettings = PeerSettings.defaults(
                settings.identity().routerId(),
                settings.peers().host(),
                settings.peers().port());
        PeerSecret secret = PeerSecret.of(settings.peers().secret().reveal());
        return new NetworkPeers(PeerNetwork.start(peerSettings, secret, peerCodec, events));
    }

    @Override
    public PlatformLink openPlatform(RouterSettings settings, Ring<Event> events) {
        PlatformService service = platformService(settings.platform());
        PlatformDuties duties = new PlatformDuties(
                service,
                json,
                settings.identity().region(),
                settings.identity().environment(),
                settings.identity().routerId(),
                settings.core().timing().controlLeaseMillis(),
                events);
        return new ServicePlatform(service, duties);
    }

    private PlatformService platformService(PlatformSettings platform) {
        return platform.isEmbedded()
                ? new EmbeddedPlatformService()
                : new EtcdPlatformService(platform.platformUrl(), json, PLATFORM_TIMEOUT);
    }

    @Override
    public AutoCloseable openVmList(RouterSettings settings, Ring<Event> events) {
        PlatformSettings platform = settings.platform();
        if (platform.vmListUrl().isEmpty()) {
            return startVmList(VmListSource.inline(platform.vmListInline()), events);
        }
        HttpCaller caller = new HttpCaller(VM_LIST_TIMEOUT, MAX_VM_LIST_BYTES);
        VmListDuty duty = startVmList(VmListSource.http(caller, URI.create(platform.vmListUrl())), events);
        return () -> closeBoth(duty, caller);
    }

    private VmListDuty startVmList(VmListSource source, Ring<Event> events) {
        return VmListDuty.start(source, json, VM_LIST_INTERVAL_MILLIS, events);
    }

    private static void closeBoth(VmListDuty duty, HttpCaller caller) {
        duty.close();
        caller.close();
    }

    /** Peers over TCP. Thread-safe. */
    private record NetworkPeers(PeerNetwork network) implements PeerLinks {

        @Override
        public void send(Action.SendPeer action) {
            network.send(action);
        }

        @Override
        public void updatePeer(Action.KnowPeer action) {
            network.updatePeer(action);
        }

        @Override
        public void close() {
            network.close();
        }
    }

    /** The platform's service and its duties; closes the duties first. Thread-safe. */
    private record ServicePlatform(PlatformService service, PlatformDuties duties) implements PlatformLink {

        @Override
        public void handle(Action action) {
            duties.handle(action);
        }

        @Override
        public void close() {
            duties.close();
            service.close();
        }
    }
}
