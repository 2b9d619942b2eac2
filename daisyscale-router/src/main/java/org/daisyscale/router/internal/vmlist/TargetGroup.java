package org.daisyscale.router.internal.vmlist;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;

/**
 * One entry of the list, with the fields of its JSON. Immutable; the collections must not be modified.
 *
 * @param targets the addresses; must be exactly one, as {@code ip:port}
 * @param labels the properties of the VM
 */
record TargetGroup(List<String> targets, Map<String, String> labels) {
    private static final String META = "__meta_daisyscale_";
    private static final String ID = META + "vm_id";
    private static final String ROLE = META + "role";
    private static final String DATA_CENTRE = META + "data_centre";
    private static final String PEER_PORT = META + "peer_port";
    private static final String STATE = META + "state";
    private static final String SLOTS = META + "slots";
    private static final String CONNECTIONS = META + "connections";
    private static final String JOB = "job";
    private static final int MAX_PORT = 65_535;

    /**
     * Returns the VM that this entry describes.
     *
     * @throws IllegalArgumentException if the entry is invalid, with the reason as its message
     */
    VmRecord toVmRecord() {
        require(labels != null, "the entry has no labels");
        HostAndPort address = address();
        VmRole role = role();
        boolean isRouter = role == VmRole.ROUTER;
        return new VmRecord(
                label(ID),
                role,
                isRouter ? "" : label(JOB),
                label(DATA_CENTRE),
                address.getHost(),
                address.getPort(),
                isRouter ? positiveNumber(PEER_PORT, MAX_PORT) : 0,
                isLeaving(),
                isRouter ? 0 : positiveNumber(SLOTS, Integer.MAX_VALUE),
                isRouter ? 0 : positiveNumber(CONNECTIONS, Integer.MAX_VALUE));
    }

    private HostAndPort address() {
        require(
                targets != null && targets.size() == 1 && targets.get(0) != null,
                "the entry must have exactly one target");
        HostAndPort address = HostAndPort.fromString(targets.get(0));
        require(
                InetAddresses.isInetAddress(address.getHost()),
                "the target's host is not an IP address: " + address.getHost());
        require(address.hasPort() && address.getPort() > 0, "the target has no port");
        return address;
    }

    private VmRole role() {
        return switch (label(ROLE)) {
            case "router" -> VmRole.ROUTER;
            case "backend-server" -> VmRole.BACKEND_SERVER;
            default -> throw new IllegalArgumentException("unknown role " + label(ROLE));
        };
    }

    private boolean isLeaving() {
        return switch (label(STATE)) {
            case "live" -> false;
            case "leaving" -> true;
            default -> throw new IllegalArgumentException("unknown state " + label(STATE));
        };
    }

    private int positiveNumber(String name, int max) {
        String text = label(name);
        try {
            long number = Long.parseLong(text);
            require(0 < number && number <= max, "the label %s is out of range: %s".formatted(name, text));
            return (int) number;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the label %s is not a number: %s".formatted(name, text), e);
        }
    }

    private String label(String name) {
        String value = labels.get(name);
        require(value != null && !value.isBlank(), "the label %s is missing or blank".formatted(name));
        return value;
    }

    private static void require(boolean isTrue, String detail) {
        if (!isTrue) {
            throw new IllegalArgumentException(detail);
        }
    }
}
