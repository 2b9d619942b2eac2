package org.daisyscale.testkit.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.daisyscale.testkit.cluster.RouterNode;
import org.daisyscale.testkit.http.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

@ExtendWith(SharedCluster.class)
class RacingOperatorsTest {

    @Test
    void shouldAcceptOneOfTwoChangesAtTheSameRevision(ProofCluster proof) {
        List<RouterNode> routers = proof.liveRouters();
        JsonNode before = configuration(proof, routers.get(0));
        long revision = before.path("revision").asLong();
        String text = before.path("documentText").asText();

        CompletableFuture<HttpResponse<byte[]>> first =
                CompletableFuture.supplyAsync(() -> change(proof, routers.get(0), revision, text + "# first\n"));
        CompletableFuture<HttpResponse<byte[]>> second =
                CompletableFuture.supplyAsync(() -> change(proof, routers.get(1), revision, text + "# second\n"));

        List<HttpResponse<byte[]>> answers = List.of(first.join(), second.join());
        assertThat(answers)
                .as(() -> "answers " + bodies(answers))
                .extracting(HttpResponse::statusCode)
                .containsExactlyInAnyOrder(200, 409);
        HttpResponse<byte[]> accepted = answers.stream()
                .filter(answer -> answer.statusCode() == 200)
                .findFirst()
                .orElseThrow();
        HttpResponse<byte[]> refused = answers.stream()
                .filter(answer -> answer.statusCode() == 409)
                .findFirst()
                .orElseThrow();
        long newRevision = Json.tree(accepted.body()).path("revision").asLong();
        assertThat(newRevision).isGreaterThan(revision);
        assertThat(Json.tree(refused.body()).path("code").asText()).isEqualTo("DSC-1008");
        proof.await(
                "one revision everywhere",
                () -> routers.stream()
                        .allMatch(router ->
                                configuration(proof, router).path("revision").asLong() == newRevision));
        String won = answers.indexOf(accepted) == 0 ? "# first\n" : "# second\n";
        assertThat(routers)
                .allMatch(router -> configuration(proof, router)
                        .path("documentText")
                        .asText()
                        .endsWith(won));
    }

    private static List<String> bodies(List<HttpResponse<byte[]>> answers) {
        return answers.stream()
                .map(answer -> new String(answer.body(), StandardCharsets.UTF_8))
                .toList();
    }

    private static JsonNode configuration(ProofCluster proof, RouterNode router) {
        return proof.get(router.operatorUrl() + "/operator/configuration")
                .map(answer -> Json.tree(answer.body()))
                .orElseThrow();
    }

    private static HttpResponse<byte[]> change(ProofCluster proof, RouterNode router, long revision, String text) {
        Map<String, Object> change = Map.of(
                "baseRevision", revision, "author", "test", "reason", "race", "summary", "race", "documentText", text);
        return proof.put(router.operatorUrl() + "/operator/configuration", change);
    }
}
