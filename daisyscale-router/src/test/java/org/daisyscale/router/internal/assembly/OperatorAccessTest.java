package org.daisyscale.router.internal.assembly;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.Ownership;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.status.RouterStatus;
import org.junit.jupiter.api.Test;

class OperatorAccessTest {

    @Test
    void shouldRejectAWrongToken() throws Exception {
        try (RunningRouter router = new RunningRouter(core(true))) {
            HttpResponse<byte[]> answer = router.operator("/operator/status", "wrong");

            assertThat(answer.statusCode()).isEqualTo(401);
            assertThat(text(answer)).contains("DSC-2201");
        }
    }

    @Test
    void shouldReturnTheCoresStateAsJson() throws Exception {
        try (RunningRouter router = new RunningRouter(core(true))) {
            HttpResponse<byte[]> answer = router.operator("/operator/status", RunningRouter.TOKEN);

            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(text(answer)).contains("\"router\":\"router-1\"", "\"isReady\":true", "\"mapVersion\":4");
        }
    }

    @Test
    void shouldBeHealthyBeforeItIsReady() throws Exception {
        try (RunningRouter router = new RunningRouter(core(false))) {
            HttpResponse<byte[]> health = router.send(router.operatorRequest("/healthz"));
            HttpResponse<byte[]> readiness = router.send(router.operatorRequest("/readyz"));

            assertThat(health.statusCode()).isEqualTo(200);
            assertThat(readiness.statusCode()).isEqualTo(503);
        }
    }

    @Test
    void shouldExportTheObjectivesOfTheConfigurationInForce() throws Exception {
        try (RunningRouter router = new RunningRouter(core(true))) {
            router.get("/job/any");

            String page = text(router.send(router.operatorRequest("/metrics")));

            assertThat(page)
                    .contains("daisyscale_objective_latency_seconds{kind=\"lookup\",service=\"slots\"} 0.1")
                    .contains("daisyscale_configuration_revision 1.0")
                    .contains("daisyscale_requests_good_total{kind=\"lookup\",service=\"slots\"} 0.0")
                    .contains("daisyscale_requests_bad_total{kind=\"lookup\",service=\"slots\"} 1.0")
                    .contains("daisyscale_invariants_broken_total{promise=\"10\"} 0.0")
                    .contains("daisyscale_requests_total{code=\"DSC-1103\"")
                    .contains("daisyscale_ring_depth_events")
                    .contains("jvm_memory");
        }
    }

    @Test
    void shouldCreateTheNextRevisionFromAProposal() throws Exception {
        ScriptedCore core = core(true);
        try (RunningRouter router = new RunningRouter(core)) {
            router.get("/job/any");

            HttpResponse<byte[]> answer = propose(
                    router,
                    "{\"baseRevision\":1,\"author\":\"ann\",\"summary\":\"dc2 out\",\"dataCentresOut\":[\"dc2\"]}");

            Configuration proposed =
                    core.awaitEvent(Event.ConfigurationProposed.class).configuration();
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(text(answer)).isEqualTo("{\"revision\":2}");
            assertThat(proposed.revision()).isEqualTo(2);
            assertThat(proposed.documentText()).isEqualTo("text");
            assertThat(proposed.dataCentresOut()).containsExactly("dc2");
            assertThat(proposed.history())
                    .extracting(ConfigurationChange::author)
                    .containsExactly("ann", "before");
        }
    }

    @Test
    void shouldRejectAProposalOnAnOldRevisionAndReturnTheNewestChanges() throws Exception {
        try (RunningRouter router = new RunningRouter(core(true))) {
            router.get("/job/any");

            HttpResponse<byte[]> answer = propose(router, "{\"baseRevision\":0,\"documentText\":\"x\"}");

            assertThat(answer.statusCode()).isEqualTo(409);
            assertThat(text(answer)).contains("DSC-1008", "\"currentRevision\":1", "\"author\":\"before\"");
        }
    }

    @Test
    void shouldReturnTheLinesOfTheErrorsInAnInvalidDocument() throws Exception {
        try (RunningRouter router = new RunningRouter(core(true))) {
            router.get("/job/any");

            HttpResponse<byte[]> answer = propose(router, "{\"baseRevision\":1,\"documentText\":\"x\"}");

            assertThat(answer.statusCode()).isEqualTo(422);
            assertThat(text(answer)).contains("DSC-1009", "\"line\":3,\"column\":5");
        }
    }

    @Test
    void shouldRejectAProposalThatIsNotJson() throws Exception {
        try (RunningRouter router = new RunningRouter(core(true))) {
            HttpResponse<byte[]> answer = propose(router, "{");

            assertThat(answer.statusCode()).isEqualTo(400);
            assertThat(text(answer)).contains("DSC-2202");
        }
    }

    @Test
    void shouldRejectNullNamesAndReasonsThatAreTooLong() throws Exception {
        String hugeReason = "x".repeat(4_001);
        try (RunningRouter router = new RunningRouter(core(true))) {
            router.get("/job/any");

            HttpResponse<byte[]> nullName = propose(router, "{\"baseRevision\":1,\"dataCentresOut\":[null]}");
            HttpResponse<byte[]> longReason =
                    propose(router, "{\"baseRevision\":1,\"reason\":\"%s\"}".formatted(hugeReason));

            assertThat(nullName.statusCode()).isEqualTo(400);
            assertThat(text(nullName)).contains("DSC-2202");
            assertThat(longReason.statusCode()).isEqualTo(400);
        }
    }

    private static HttpResponse<byte[]> propose(RunningRouter router, String json) throws Exception {
        return router.send(router.operatorRequest("/operator/configuration")
                .header("Authorization", "Bearer " + RunningRouter.TOKEN)
                .PUT(HttpRequest.BodyPublishers.ofString(json)));
    }

    /** Creates a core that puts a configuration in force on each request and accepts every proposal. */
    private static ScriptedCore core(boolean isReady) {
        return new ScriptedCore((event, now) -> decide(event, now, isReady));
    }

    private static List<Action> decide(Event event, Moment now, boolean isReady) {
        if (event instanceof Event.StatusRequested request) {
            return List.of(new Action.AnswerStatus(request.requestId(), status(isReady)));
        }
        if (event instanceof Event.ConfigurationProposed proposal) {
            return List.of(new Action.AnswerProposal(proposal.requestId(), 2, true, ""));
        }
        if (event instanceof Event.RequestArrived request) {
            return List.of(
                    new Action.ConfigurationInForce(configuration()),
                    new Action.RefuseRequest(request.requestId(), CoreErrorCode.NOT_READY, "", "slots", "lookup"));
        }
        return List.of();
    }

    private static RouterStatus status(boolean isReady) {
        return new RouterStatus(
                "router-1",
                "dc1",
                isReady,
                false,
                false,
                true,
                true,
                4,
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    private static Configuration configuration() {
        RequestKind kind = new RequestKind(
                "lookup",
                "GET",
                "/slots/{key}",
                KeySource.PATH,
                "key",
                true,
                500,
                3,
                10,
                0,
                0,
                65_536,
                new Objective(99.9, 100));
        ServicePolicy service =
                new ServicePolicy("slots", List.of(), Ownership.EXCLUSIVE, 128, 1, true, 20, List.of(kind));
        return new Configuration(
                1,
                "write-1",
                "text",
                new EnvironmentDocument(1, "trial", List.of(service)),
                Set.of(),
                Set.of(),
                List.of(new ConfigurationChange(1, "before", "first", "", 0)));
    }

    private static String text(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }
}
