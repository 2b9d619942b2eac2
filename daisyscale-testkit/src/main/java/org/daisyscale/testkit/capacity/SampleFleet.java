package org.daisyscale.testkit.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.Ownership;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;

/** The VM list and the configuration of a fleet of a given size. Immutable. */
final class SampleFleet {
    static final String KIND = "update";
    private static final int DATA_CENTRES = 3;
    private static final int SLOTS = 3;
    private static final int CONNECTIONS = 100;
    private static final long DEADLINE_MILLIS = 500;
    private static final long BODY_LIMIT_BYTES = 65_536;

    private final FleetSize size;

    SampleFleet(FleetSize size) {
        this.size = size;
    }

    FleetSize size() {
        return size;
    }

    static String routerId(int index) {
        return "router-%04d-7f3a9c".formatted(index);
    }

    static String service(int index) {
        return "service-%03d".formatted(index);
    }

    static String job(int index) {
        return "job-%03d".formatted(index);
    }

    List<String> routerIds() {
        return IntStream.range(0, size.routerCount())
                .mapToObj(SampleFleet::routerId)
                .toList();
    }

    List<VmRecord> vms() {
        List<VmRecord> vms = new ArrayList<>();
        for (int index = 0; index < size.routerCount(); index++) {
            vms.add(vm(routerId(index), VmRole.ROUTER, "", index, 0));
        }
        for (int index = 0; index < size.serverCount(); index++) {
            String id = "server-%05d-7f3a9c".formatted(index);
            vms.add(vm(id, VmRole.BACKEND_SERVER, job(index % size.serviceCount()), index, SLOTS));
        }
        return vms;
    }

    private static VmRecord vm(String id, VmRole role, String job, int index, int slots) {
        String dataCentre = "dc" + (index % DATA_CENTRES + 1);
        return new VmRecord(id, role, job, dataCentre, "127.0.0.1", 1, 2, false, slots, CONNECTIONS);
    }

    Configuration configuration() {
        List<ServicePolicy> services =
                IntStream.range(0, size.serviceCount()).mapToObj(this::policy).toList();
        EnvironmentDocument document =
                new EnvironmentDocument(EnvironmentDocument.CURRENT_FORMAT_VERSION, "capacity", services);
        return new Configuration(1, "write-1", "", document, Set.of(), Set.of(), List.of());
    }

    private ServicePolicy policy(int index) {
        Objective objective = new Objective(99, DEADLINE_MILLIS);
        RequestKind kind = new RequestKind(
                KIND,
                "POST",
                "/slots/{key}",
                KeySource.PATH,
                "key",
                false,
                DEADLINE_MILLIS,
                1,
                0,
                0,
                0,
                BODY_LIMIT_BYTES,
                objective);
        return new ServicePolicy(
                service(index),
                List.of(new JobRule(job(index), false)),
                Ownership.EXCLUSIVE,
                size.slicesPerService(),
                1,
                true,
                0,
                List.of(kind));
    }
}
