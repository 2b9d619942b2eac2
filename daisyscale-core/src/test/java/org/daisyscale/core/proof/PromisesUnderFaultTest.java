package org.daisyscale.core.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Checks each promise under the fixed seeds of CI; {@code bin/prove} runs other seeds. */
class PromisesUnderFaultTest {
    private static final Long[] SEEDS = {1L, 4L, 5L, 9L, 17L, 26L, 33L, 37L, 40L, 71L, 93L, 118L};
    private static final ConcurrentMap<Long, ProofRun> RUNS = new ConcurrentHashMap<>();

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.of(SEEDS);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldHaveAtMostOneOwnerPerKeyAtAnyTime(@ForAll("seeds") long seed) {
        assertKept(1, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldKeepSettledAssignmentsAndServeEachKeyAfterTheFaults(@ForAll("seeds") long seed) {
        assertKept(2, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldNotExceedTheCapacityOfAColdServer(@ForAll("seeds") long seed) {
        assertKept(3, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldStartNoWorkInADataCentreTakenOut(@ForAll("seeds") long seed) {
        assertKept(4, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldStartNoWorkAtALeavingServer(@ForAll("seeds") long seed) {
        assertKept(8, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldGiveEachCallerTheAnswerToItsOwnRequest(@ForAll("seeds") long seed) {
        assertKept(5, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldReportNotRunOnlyForRequestsThatNoServerRan(@ForAll("seeds") long seed) {
        assertKept(6, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldRunABookingAtMostOnce(@ForAll("seeds") long seed) {
        assertKept(7, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldLeaveNoRequestOpenAtAPlannedStop(@ForAll("seeds") long seed) {
        assertKept(9, seed);
    }

    @Property(generation = GenerationMode.EXHAUSTIVE)
    void shouldPutAnAcceptedConfigurationInForceAndNeverRevertIt(@ForAll("seeds") long seed) {
        assertKept(10, seed);
    }

    private static void assertKept(int promise, long seed) {
        ProofRun run = RUNS.computeIfAbsent(seed, ProofRun::of);

        List<Observer.Violation> violations = run.violations(promise).toList();

        assertThat(violations).as("seed %d with %s", seed, run.faults()).isEmpty();
    }
}
