package org.daisyscale.testkit.demo;

import java.util.List;
import java.util.Set;
import org.daisyscale.testkit.cluster.ServerGroup;
import org.daisyscale.testkit.load.LoadKind;
import org.daisyscale.testkit.load.LoadPlan;

/** What the demonstration starts and sends. Stateless. */
final class DemoPlan {
    static final String LOOKUP_JOB = "afd7-slot-lookup";
    static final Set<String> ONCE_ONLY_KINDS = Set.of("payment", "confirmation");
    private static final int UPLOAD_BYTES = 5_000_000;
    private static final int SLOTS = 3;
    private static final int SMALL_BODY_BYTES = 400;
    private static final int KEY_COUNT = 5_000;
    private static final int IN_FLIGHT_LIMIT = 5_000;

    private DemoPlan() {}

    /** A server for each service in each data centre. */
    static List<ServerGroup> groups() {
        return List.of(
                new ServerGroup(LOOKUP_JOB, 1, SLOTS, List.of("--service", "/=4:exponential")),
                new ServerGroup("afd7-subsidy-pay", 1, SLOTS, List.of("--service", "/=10:exponential")),
                new ServerGroup("afd7-doc-upload", 1, SLOTS, List.of("--service", "/=30:exponential")),
                new ServerGroup("afd7-placement-confirm", 1, SLOTS, List.of("--service", "/=8:exponential")));
    }

    static LoadPlan load(double ratePerSecond, long durationMillis, long seed) {
        List<LoadKind> kinds = List.of(
                new LoadKind("lookup", "GET", LOOKUP_JOB, "/slots/{key}", 75, KEY_COUNT, 1, 0, true),
                new LoadKind("payment", "POST", "afd7-subsidy-pay", "/payments", 12, 1, 0, SMALL_BODY_BYTES, true),
                new LoadKind(
                        "upload", "PUT", "afd7-doc-upload", "/documents/{key}", 1, KEY_COUNT, 0, UPLOAD_BYTES, true),
                new LoadKind(
                        "confirmation",
                        "POST",
                        "afd7-placement-confirm",
                        "/confirmations",
                        12,
                        1,
                        0,
                        SMALL_BODY_BYTES,
                        true));
        return new LoadPlan(kinds, ratePerSecond, true, 0, durationMillis, 10_000, IN_FLIGHT_LIMIT, seed);
    }
}
