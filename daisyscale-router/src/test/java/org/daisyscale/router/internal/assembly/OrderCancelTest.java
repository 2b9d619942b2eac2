package org.daisyscale.router.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.request.BackendOutcome;
import org.junit.jupiter.api.Test;

class OrderCancelTest {
    private static final long LONG_MILLIS = 60_000;

    private final CountDownLatch hasReachedServer = new CountDownLatch(1);
    private final CountDownLatch isTestDone = new CountDownLatch(1);

    @Test
    void shouldEndACancelledOrderPromptlyEvenIfItsServerContinues() throws Exception {
        try (RawBackend backend = new RawBackend(this::hang)) {
            ScriptedCore core = new ScriptedCore((event, now) -> decide(backend.port(), event, now));
            try (RunningRouter router = new RunningRouter(core)) {
                callAndDisconnect(router.callerPort());

                Event.OrderEnded ended = core.awaitEvent(Event.OrderEnded.class);

                assertThat(ended.outcome()).isEqualTo(BackendOutcome.TIMED_OUT);
            } finally {
                isTestDone.countDown();
            }
        }
    }

    private String hang(String orderId) {
        if (!orderId.isEmpty()) {
            hasReachedServer.countDown();
            await(isTestDone);
        }
        return RawBackend.HANG_UP;
    }

    private static List<Action> decide(int port, Event event, Moment now) {
        if (event instanceof Event.RequestArrived request) {
            return List.of(RunningRouter.orderTo(port, request, now, LONG_MILLIS));
        }
        if (event instanceof Event.CallerGone gone) {
            Event.RequestArrived request = new Event.RequestArrived(gone.requestId(), null);
            Action.SendOrder order = RunningRouter.orderTo(port, request, now, LONG_MILLIS);
            return List.of(new Action.CancelOrder(gone.requestId(), order.permit()));
        }
        return List.of();
    }

    private void callAndDisconnect(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            byte[] request = "GET /job/one HTTP/1.1\r\nhost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(request);
            await(hasReachedServer);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
