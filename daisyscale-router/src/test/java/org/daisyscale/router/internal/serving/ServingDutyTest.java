package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.RequestRouter;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;

class ServingDutyTest {
    private final List<String> lines = new ArrayList<>();
    private final List<Exchange.Outcome> outcomes = new ArrayList<>();
    private final Ring<ServingEvent> events = new ArrayRing<>("decisions", 4);
    private final ExchangeRegistry exchanges = new ExchangeRegistry();
    private final ServingMetrics metrics = new ServingMetrics();

    private ServingDuty dutyThatRejects(ServingAction.Reject rejection) {
        return new ServingDuty(
                new RejectingRouter(rejection),
                events,
                exchanges,
                new AttemptSender(null, null, ended -> {}),
                new HealthCheckSender(null, null, event -> {}),
                load -> {},
                news -> {},
                losses -> {},
                report -> {},
                (event, detail) -> lines.add(event + " " + detail),
                metrics);
    }

    private void arrive() throws InterruptedException {
        RequestHead head = new RequestHead("h", "/new/1", 1_500, RequestHead.NO_KEY, 0, "id-1");
        exchanges.add(new Exchange(1, head, "GET", "/new/1", new DefaultHttpHeaders(), new byte[0], outcomes::add));
        events.put(new ServingEvent.RequestArrived(1, head, System.nanoTime()));
    }

    @Test
    void shouldLogTheStateBehindARejectionWithTheRequestsId() throws InterruptedException {
        ServingAction.Reject rejection = new ServingAction.Reject(
                1, CoreErrorCode.NO_ROUTE, "host=h path=/new/1", 0, "configurationVersion=5 viewAgeMillis=40");
        ServingDuty duty = dutyThatRejects(rejection);
        arrive();

        duty.runStep();

        assertThat(lines)
                .singleElement()
                .asString()
                .startsWith("request-failed requestId=id-1 ")
                .endsWith(" code=DSC-1010 retryAfterMillis=0 host=h path=/new/1"
                        + " configurationVersion=5 viewAgeMillis=40");
        assertThat(outcomes).containsExactly(new Exchange.Outcome.Rejected(rejection));
    }

    @Test
    void shouldLogARejectionWithoutStateByItsDetailAlone() throws InterruptedException {
        ServingDuty duty = dutyThatRejects(new ServingAction.Reject(1, CoreErrorCode.NO_SERVER, "service=s", 20));
        arrive();

        duty.runStep();

        assertThat(lines).singleElement().asString().endsWith(" code=DSC-1109 retryAfterMillis=20 service=s");
    }

    @Test
    void shouldGiveTheVersionOfTheConfigurationAsAMetric() throws InterruptedException {
        ServingDuty duty = dutyThatRejects(new ServingAction.Reject(1, CoreErrorCode.NO_SERVER, "service=s", 20));
        events.put(new ServingEvent.TableChanged(NumberedConfigurations.table(403)));

        duty.runStep();

        assertThat(new String(metrics.exposition(), StandardCharsets.UTF_8))
                .contains("daisyscale_serving_configuration_version 403.0");
    }

    /** Answers each event with the same rejection. */
    private record RejectingRouter(ServingAction.Reject rejection) implements RequestRouter {

        @Override
        public List<ServingAction> handle(ServingEvent event, long nowNanos) {
            return List.of(rejection);
        }

        @Override
        public long nextDueNanos() {
            return Long.MAX_VALUE;
        }
    }
}
