package org.daisyscale.router.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.CoreErrorCode;
import org.junit.jupiter.api.Test;

class FullRingTest {

    @Test
    void shouldRejectARequestAsNotRunWhenTheEventRingIsFullAndLoseNoOtherRequest() throws Exception {
        CountDownLatch mayDecide = new CountDownLatch(1);
        ScriptedCore core = new ScriptedCore((event, now) -> rejectAfter(mayDecide, event));
        try (RunningRouter router = new RunningRouter(core, "--event-ring-capacity=1")) {
            CompletableFuture<HttpResponse<byte[]>> decided = get(router);
            core.awaitEvent(Event.RequestArrived.class);
            List<CompletableFuture<HttpResponse<byte[]>>> later = List.of(get(router), get(router));

            HttpResponse<byte[]> rejected = (HttpResponse<byte[]>)
                    CompletableFuture.anyOf(later.get(0), later.get(1)).join();
            mayDecide.countDown();

            assertThat(rejected.statusCode()).isEqualTo(503);
            assertThat(rejected.headers().firstValue("Daisyscale-Outcome")).contains("not-run");
            assertThat(text(rejected)).contains("DSC-1101");
            assertThat(text(decided.join())).contains("DSC-1103");
            assertThat(later).extracting(reply -> text(reply.join())).anyMatch(body -> body.contains("DSC-1103"));
        }
    }

    private static List<Action> rejectAfter(CountDownLatch mayDecide, Event event) {
        try {
            mayDecide.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return event instanceof Event.RequestArrived request
                ? List.of(new Action.RefuseRequest(request.requestId(), CoreErrorCode.NOT_READY, "", "", ""))
                : List.of();
    }

    private static CompletableFuture<HttpResponse<byte[]>> get(RunningRouter router) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return router.get("/job/one");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static String text(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }
}
