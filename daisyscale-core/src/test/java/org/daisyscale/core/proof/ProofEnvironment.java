package org.daisyscale.core.proof;

import java.util.List;
import java.util.Set;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.JobRule;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.Ownership;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.request.KeyHeaders;
import org.daisyscale.core.request.RequestMeta;

/**
 * The services and requests of a run: an exclusive service whose servers check orders, an exclusive service whose
 * servers don't, and a pooled service with non-idempotent requests. Stateless.
 */
final class ProofEnvironment {
    static final String CHECKED_SERVICE = "slots";
    static final String UNCHECKED_SERVICE = "old-stock";
    static final String POOLED_SERVICE = "payments";
    static final List<String> DATA_CENTRES = List.of("dc1", "dc2", "dc3");
    static final int SLICE_COUNT = 8;
    static final int EXCLUSIVE_SERVICE_COUNT = 2;

    private ProofEnvironment() {}

    static Configuration initialConfiguration() {
        EnvironmentDocument document = new EnvironmentDocument(
                EnvironmentDocument.CURRENT_FORMAT_VERSION,
                "trial",
                List.of(
                        service(CHECKED_SERVICE, Ownership.EXCLUSIVE, 1, true, kind(KeySource.PATH, true, 1_000)),
                        service(UNCHECKED_SERVICE, Ownership.EXCLUSIVE, 1, false, kind(KeySource.PATH, true, 1_000)),
                        service(POOLED_SERVICE, Ownership.POOLED, 2, true, kind(KeySource.NONE, false, 2_000))));
        return new Configuration(1, "first", "", document, Set.of(), Set.of(), List.of());
    }

    private static ServicePolicy service(
            String name, Ownership ownership, int dispatchRangeCount, boolean checksOrders, RequestKind kind) {
        int sliceCount = ownership == Ownership.EXCLUSIVE ? SLICE_COUNT : 0;
        return new ServicePolicy(
                name,
                List.of(new JobRule(name, false)),
                ownership,
                sliceCount,
                dispatchRangeCount,
                checksOrders,
                20,
                List.of(kind));
    }

    private static RequestKind kind(KeySource source, boolean isIdempotent, long deadlineMillis) {
        String path = source == KeySource.PATH ? "/work/{key}" : "/work";
        int maxAttempts = isIdempotent ? 3 : 1;
        Objective objective = new Objective(99.9, 100);
        return new RequestKind(
                "work",
                "POST",
                path,
                source,
                "key",
                isIdempotent,
                deadlineMillis,
                maxAttempts,
                10,
                0,
                0,
                1_000,
                objective);
    }

    static RequestMeta keyedRequest(String service, String key, String caller) {
        return new RequestMeta(service, "POST", "/work/" + key, "", KeyHeaders.none(), caller, "", 0, key);
    }

    static RequestMeta bookingRequest(String id, String caller) {
        return new RequestMeta(POOLED_SERVICE, "POST", "/work", "", KeyHeaders.none(), caller, id, 0, id);
    }
}
