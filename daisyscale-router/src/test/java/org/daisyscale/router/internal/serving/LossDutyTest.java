package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.LossRecord.LostServer;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

/** Guards against losses of requests that end with the process that saw them (issue 57). */
class LossDutyTest {
    private static final long FINGERPRINT = 4_711;
    private static final String KEY = StoreKeys.losses(FINGERPRINT);

    private final LeasedStore store = new LeasedStore();
    private final Ring<LossRecord> losses = new ArrayRing<>("losses", 8);
    private long nowNanos;
    private final LossDuty duty = new LossDuty(store, losses, () -> nowNanos, () -> 1_000_000);

    private static LossRecord record(String... serverIds) {
        List<LostServer> servers =
                List.of(serverIds).stream().map(id -> new LostServer(id, 1)).toList();
        return new LossRecord(FINGERPRINT, servers, 0, 200);
    }

    private LossRecord stored() {
        return StoredLosses.read(store.get(KEY).orElseThrow().value()).toRecord(1_000_300);
    }

    private void write(LossRecord record) throws InterruptedException {
        losses.put(record);
        duty.runStep();
    }

    @Test
    void shouldStoreTheLossesWithTheirAge() throws Exception {
        write(record("s1", "s2"));

        assertThat(stored())
                .isEqualTo(new LossRecord(FINGERPRINT, record("s1", "s2").servers(), 0, 500));
    }

    @Test
    void shouldAddItsLossesToThoseThatAnotherRouterWrote() throws Exception {
        byte[] ofOther = StoredLosses.of(record("s3"), 1_000_000).write();
        store.write(new Change(KEY, 0, ofOther, 0));

        write(record("s1", "s2"));
        duty.runStep();

        assertThat(stored().servers()).extracting(LostServer::serverId).containsExactlyInAnyOrder("s1", "s2", "s3");
    }

    @Test
    void shouldWriteTheNewestLossesOnceTheStoreIsBack() throws Exception {
        store.setReachable(false);
        write(record("s1", "s2"));
        losses.put(record("s1", "s2", "s3"));
        store.setReachable(true);

        duty.runStep();

        assertThat(stored().servers()).hasSize(3);
    }

    @Test
    void shouldTakeANewLeaseWhenItsLeaseHasEnded() throws Exception {
        write(record("s1", "s2"));
        store.loseLeases(0);

        write(record("s1", "s2"));
        duty.runStep();
        duty.runStep();

        assertThat(stored().servers()).hasSize(2);
    }

    @Test
    void shouldClearTheLossesOfARequestThatWasAnswered() throws Exception {
        write(record("s1", "s2"));

        write(LossRecord.answered(FINGERPRINT));

        assertThat(stored().isAnswered()).isTrue();
    }

    @Test
    void shouldReplaceAnItemThatItCannotRead() throws Exception {
        store.write(new Change(KEY, 0, new byte[] {'?'}, 0));

        write(record("s1", "s2"));
        duty.runStep();

        assertThat(stored().servers()).hasSize(2);
    }
}
