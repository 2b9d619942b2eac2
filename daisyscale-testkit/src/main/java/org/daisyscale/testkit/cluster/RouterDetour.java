package org.daisyscale.testkit.cluster;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;
import org.daisyscale.testkit.http.JsonClient;
import org.daisyscale.testkit.platform.PlatformStandIn;
import org.daisyscale.testkit.relay.TcpRelay;
import org.daisyscale.testkit.relay.TcpRelay.Link;

/**
 * Relays round one router, so that it can be cut off from the platform's service and from the other routers. The others
 * reach it through a relay; it reaches them through relays that a list of VMs of its own names. Used by one thread.
 *
 * <pre>{@code
 * detour.cutPeers(true, false); // it hears nothing, but the others hear it
 * detour.heal();
 * }</pre>
 */
public final class RouterDetour implements AutoCloseable {
    private final String routerId;
    private final TcpRelay platform;
    private final TcpRelay inbound;
    private final PlatformStandIn list;
    private final List<TcpRelay> outbound = new ArrayList<>();
    private final JsonClient client = new JsonClient("");

    RouterDetour(String routerId, String platformUrl, int peerPort) {
        this.routerId = routerId;
        this.platform = TcpRelay.start(0, URI.create(platformUrl).getPort());
        this.inbound = TcpRelay.start(0, peerPort);
        this.list = PlatformStandIn.start("127.0.0.1", 0);
    }

    String platformUrl() {
        return "http://127.0.0.1:" + platform.port();
    }

    String vmListUrl() {
        return list.url() + "/vms";
    }

    /** The port at which the other routers reach this one. */
    int peerPort() {
        return inbound.port();
    }

    /** Puts {@code vm} on the router's own list, another router behind a relay. */
    void list(VmRecord vm) {
        boolean isPeer = vm.role() == VmRole.ROUTER && !vm.id().equals(routerId);
        client.send("POST", vmListUrl(), isPeer ? behindRelay(vm) : vm);
    }

    private VmRecord behindRelay(VmRecord vm) {
        TcpRelay relay = TcpRelay.start(0, vm.peerPort());
        outbound.add(relay);
        return withPeerPort(vm, relay.port());
    }

    private static VmRecord withPeerPort(VmRecord vm, int peerPort) {
        return new VmRecord(
                vm.id(),
                vm.role(),
                vm.jobName(),
                vm.dataCentre(),
                vm.host(),
                vm.httpPort(),
                peerPort,
                vm.isLeaving(),
                vm.slotCount(),
                vm.connectionLimit());
    }

    /** Takes {@code vmId} off the router's own list. */
    void unlist(String vmId) {
        client.send("DELETE", vmListUrl() + "/" + vmId, Map.of());
    }

    /** Cuts what the router hears from the others, what it says to them, or both. */
    public void cutPeers(boolean isDeaf, boolean isMute) {
        Link hearing = isDeaf ? Link.cut() : Link.open();
        Link saying = isMute ? Link.cut() : Link.open();
        inbound.set(hearing, saying);
        outbound.forEach(relay -> relay.set(saying, hearing));
    }

    /** Cuts the platform's service off in both directions. */
    public void cutPlatform() {
        platform.set(Link.cut(), Link.cut());
    }

    /** Lets everything through again. */
    public void heal() {
        cutPeers(false, false);
        platform.set(Link.open(), Link.open());
    }

    @Override
    public void close() {
        platform.close();
        inbound.close();
        outbound.forEach(TcpRelay::close);
        list.close();
    }
}
