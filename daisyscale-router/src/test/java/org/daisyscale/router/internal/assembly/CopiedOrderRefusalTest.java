package org.daisyscale.router.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** A server may write an answer once more, at the point where the answer to a later order is expected. */
class CopiedOrderRefusalTest {
    private static final String NO_ORDER_ID = "";

    private final AtomicInteger orderCount = new AtomicInteger();

    private static String refusal(String orderId) {
        String orderIdHeader = orderId.isEmpty() ? "" : "daisyscale-order-id: " + orderId + "\r\n";
        return "HTTP/1.1 503 Busy\r\ndaisyscale-not-run: shed\r\n" + orderIdHeader + "content-length: 0\r\n\r\n";
    }

    private static String answer(String orderId) {
        return "HTTP/1.1 200 OK\r\ndaisyscale-order-id: " + orderId + "\r\ncontent-length: 4\r\n\r\nfine";
    }

    /** Refuses the first order and runs the second, whose answer comes after a copy of the refusal. */
    private UnaryOperator<String> refusedThenRunBehind(String copy) {
        return orderId -> orderCount.incrementAndGet() == 1 ? refusal(orderId) : copy + answer(orderId);
    }

    @Test
    void shouldPassOnARefusalThatNamesTheOrderAsNotRun() throws Exception {
        try (RawBackend backend = new RawBackend(CopiedOrderRefusalTest::refusal);
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> refused = router.get("/job/one");

            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.headers().firstValue("Daisyscale-Outcome")).contains("not-run");
        }
    }

    @Test
    void shouldNotTakeTheCopyOfARefusalThatNamesNoOrderForTheAnswerToALaterOrder() throws Exception {
        assertLaterOrderIsUnknownBehind(refusal(NO_ORDER_ID));
    }

    @Test
    void shouldNotTakeTheCopyOfARefusalOfAnEarlierOrderForTheAnswerToALaterOrder() throws Exception {
        assertLaterOrderIsUnknownBehind(refusal("earlier-order"));
    }

    private void assertLaterOrderIsUnknownBehind(String copy) throws Exception {
        try (RawBackend backend = new RawBackend(refusedThenRunBehind(copy));
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            HttpResponse<byte[]> refused = router.get("/job/one");
            HttpResponse<byte[]> run = router.get("/job/two");

            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(backend.connectionCount())
                    .as("connections of both orders")
                    .isEqualTo(1);
            assertThat(run.statusCode()).isEqualTo(504);
            assertThat(run.headers().firstValue("Daisyscale-Outcome")).contains("unknown");
        }
    }

    @Test
    void shouldSendTheNextOrderOnANewConnectionAfterARefusalThatNamesNoOrder() throws Exception {
        try (RawBackend backend = new RawBackend(refusedThenRunBehind(refusal(NO_ORDER_ID)));
                RunningRouter router = new RunningRouter(RunningRouter.forwardingTo(backend.port()))) {
            router.get("/job/one");
            router.get("/job/two");
            router.get("/job/three");

            assertThat(backend.connectionCount()).isEqualTo(2);
        }
    }
}
