package org.daisyscale.testkit.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;

/** The VMs now and as a lagging reader sees them, with the time passed in. Not safe for use by several threads. */
final class VmList {
    private static final int SNAPSHOT_LIMIT = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, VmRecord> vms = new TreeMap<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    void put(VmRecord vm, long nowNanos) {
        vms.put(vm.id(), vm);
        keep(nowNanos);
    }

    /** Marks a VM as leaving; false when there is no such VM. */
    boolean markLeaving(String id, long nowNanos) {
        VmRecord vm = vms.get(id);
        if (vm == null) {
            return false;
        }
        put(leaving(vm), nowNanos);
        return true;
    }

    /** Takes a VM off the list; false when there is no such VM. */
    boolean remove(String id, long nowNanos) {
        boolean wasThere = vms.remove(id) != null;
        keep(nowNanos);
        return wasThere;
    }

    private void keep(long nowNanos) {
        snapshots.addLast(new Snapshot(nowNanos, List.copyOf(vms.values())));
        if (snapshots.size() > SNAPSHOT_LIMIT) {
            snapshots.removeFirst();
        }
    }

    /** The list as it was {@code lagMillis} milliseconds ago, in the form of Prometheus HTTP service discovery. */
    List<Map<String, Object>> groups(long lagMillis, long nowNanos) {
        long cutNanos = nowNanos - lagMillis * NANOS_PER_MILLI;
        List<VmRecord> seen = List.of();
        for (Snapshot snapshot : snapshots) {
            if (snapshot.takenNanos() - cutNanos <= 0) {
                seen = snapshot.vms();
            }
        }
        List<Map<String, Object>> groups = new ArrayList<>();
        seen.forEach(vm -> groups.add(group(vm)));
        return groups;
    }

    private static Map<String, Object> group(VmRecord vm) {
        String role = vm.role() == VmRole.ROUTER ? "router" : "backend-server";
        Map<String, String> labels = new TreeMap<>();
        labels.put("__meta_daisyscale_vm_id", vm.id());
        labels.put("__meta_daisyscale_role", role);
        labels.put("job", vm.jobName());
        labels.put("__meta_daisyscale_data_centre", vm.dataCentre());
        labels.put("__meta_daisyscale_peer_port", Integer.toString(vm.peerPort()));
        labels.put("__meta_daisyscale_state", vm.isLeaving() ? "leaving" : "live");
        labels.put("__meta_daisyscale_slots", Integer.toString(vm.slotCount()));
        labels.put("__meta_daisyscale_connections", Integer.toString(vm.connectionLimit()));
        return Map.of("targets", List.of(vm.host() + ":" + vm.httpPort()), "labels", labels);
    }

    private static VmRecord leaving(VmRecord vm) {
        return new VmRecord(
                vm.id(),
                vm.role(),
                vm.jobName(),
                vm.dataCentre(),
                vm.host(),
                vm.httpPort(),
                vm.peerPort(),
                true,
                vm.slotCount(),
                vm.connectionLimit());
    }

    /** The VMs from one moment on. */
    private record Snapshot(long takenNanos, List<VmRecord> vms) {}
}
