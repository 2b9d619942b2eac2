package org.daisyscale.router.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;

class SlowCallerTest {
    private static final int BUFFERED_BYTES = 1_000;
    private static final int OVERLOADED = 503;
    private static final int REJECTED_BY_CORE = 429;

    @Test
    void shouldDisconnectACallerThatSendsItsBodyTooSlowlyAndReleaseItsBuffers() throws Exception {
        ScriptedCore core = new ScriptedCore((event, now) -> event instanceof Event.RequestArrived request
                ? List.of(new Action.RefuseRequest(request.requestId(), CoreErrorCode.CALLER_LIMIT, "", "", ""))
                : List.of());
        try (RunningRouter router = new RunningRouter(
                        core,
                        "--max-body-bytes=" + BUFFERED_BYTES,
                        "--max-buffered-bytes=" + BUFFERED_BYTES,
                        "--body-time-limit-millis=300");
                Socket slow = new Socket(InetAddress.getLoopbackAddress(), router.callerPort())) {
            String head = "POST /job/slow HTTP/1.1\r\nhost: x\r\ncontent-length: " + BUFFERED_BYTES + "\r\n\r\nhalf";
            slow.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));

            assertThat(slow.getInputStream().readAllBytes()).isEmpty();
            assertThat(statusOnceBuffersAreFree(router)).isEqualTo(REJECTED_BY_CORE);
        }
    }

    private static int statusOnceBuffersAreFree(RunningRouter router) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        int status = OVERLOADED;
        while (status == OVERLOADED && System.nanoTime() - endNanos < 0) {
            status = router.post("/job/whole", new byte[BUFFERED_BYTES]).statusCode();
        }
        return status;
    }
}
