package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.daisyscale.core.Moment;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.LedgerState;
import org.junit.jupiter.api.Test;

class IdLedgerTest {
    private static final String ID_OF_MILLI_1000 = "00000000-03e8-7000-8000-000000000001";
    private static final Moment NOW = new Moment(0, 5_000);

    @Test
    void shouldRejectAnIdThatRan() {
        IdLedger ledger = new IdLedger(0);
        ledger.begin(ID_OF_MILLI_1000, "router/1", NOW);

        ledger.end(ID_OF_MILLI_1000, LedgerState.RAN, NOW);

        assertThat(ledger.rejection(ID_OF_MILLI_1000, "other/1")).contains(CoreErrorCode.ALREADY_RAN);
    }

    @Test
    void shouldRejectAnIdThatRunsForAnotherRequestAndLetTheSameRequestRetry() {
        IdLedger ledger = new IdLedger(0);

        ledger.begin(ID_OF_MILLI_1000, "router/1", NOW);

        assertThat(ledger.rejection(ID_OF_MILLI_1000, "router/1")).isEmpty();
        assertThat(ledger.rejection(ID_OF_MILLI_1000, "other/1")).contains(CoreErrorCode.DUPLICATE_IN_PROGRESS);
    }

    @Test
    void shouldReportAnUnknownOutcomeForAnIdOlderThanTheLedger() {
        IdLedger ledger = new IdLedger(1_000);

        assertThat(ledger.rejection(ID_OF_MILLI_1000, "router/1")).contains(CoreErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void shouldKnowOlderIdsAfterTheHandoverOfThePredecessorsLedger() {
        IdLedger before = new IdLedger(0);
        before.begin(ID_OF_MILLI_1000, "router/1", NOW);
        before.end(ID_OF_MILLI_1000, LedgerState.RAN, NOW);
        IdLedger after = new IdLedger(6_000);

        PeerMessage.LedgerHandover handover = before.handover(new RangeKey("payments", 0), 2);
        after.merge(handover, NOW);

        assertThat(after.rejection(ID_OF_MILLI_1000, "router/2")).contains(CoreErrorCode.ALREADY_RAN);
        assertThat(after.rejection("00000000-03e8-7000-8000-000000000002", "router/2"))
                .isEmpty();
    }
}
