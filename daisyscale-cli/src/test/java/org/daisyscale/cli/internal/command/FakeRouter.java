package org.daisyscale.cli.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.document.ConfigurationChange;
import org.daisyscale.core.status.PeerStatus;
import org.daisyscale.core.status.RouterStatus;
import org.daisyscale.core.status.ServerSummary;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/** Serves the operator API of a router from a configuration in memory. Thread-safe: its lock guards its state. */
final class FakeRouter implements AutoCloseable {
    static final String TOKEN = "secret-token";

    private final ObjectMapper json = new ObjectMapper();
    private final RatpackServer server;
    private final List<ConfigurationChange> history = new ArrayList<>();
    private final Set<String> dataCentresOut = new HashSet<>();
    private final Set<String> serversDrained = new HashSet<>();
    private String documentText = "";
    private String metrics = "";
    private long revision;
    private long peerRevision = Long.MAX_VALUE;
    private boolean dropsNextProposalAnswer;
    private boolean hasStoppedAnswering;
    private Runnable beforeProposal = () -> {};
    private List<ServerSummary> servers = List.of();

    FakeRouter() throws Exception {
        server = RatpackServer.start(
                spec -> spec.serverConfig(config -> config.port(0).threads(1)).handlers(this::routes));
    }

    String address() {
        return "http://127.0.0.1:" + server.getBindPort();
    }

    synchronized void storeDocument(String text) {
        documentText = text;
        record("ada", "document: fields 1 added", "");
    }

    synchronized void record(String author, String summary, String reason) {
        revision++;
        history.add(0, new ConfigurationChange(revision, author, summary, reason, 0));
    }

    synchronized void setServers(ServerSummary... summaries) {
        servers = List.of(summaries);
    }

    synchronized void setMetrics(String metricsText) {
        metrics = metricsText;
    }

    synchronized void setPeerRevision(long laggingRevision) {
        peerRevision = laggingRevision;
    }

    synchronized void dropNextProposalAnswer() {
        dropsNextProposalAnswer = true;
    }

    synchronized void stopAnswering() {
        hasStoppedAnswering = true;
    }

    synchronized void beforeProposal(Runnable action) {
        beforeProposal = action;
    }

    synchronized String documentText() {
        return documentText;
    }

    synchronized Set<String> dataCentresOut() {
        return Set.copyOf(dataCentresOut);
    }

    synchronized List<ConfigurationChange> history() {
        return List.copyOf(history);
    }

    private void routes(Chain chain) throws Exception {
        chain.all(this::answerIfAlive)
                .get("metrics", context -> context.render(metricsText()))
                .prefix(
                        "operator",
                        operator -> operator.all(FakeRouter::authorise)
                                .get("status", context -> context.render(json.writeValueAsString(status())))
                                .path("configuration", this::configuration));
    }

    private synchronized void answerIfAlive(Context context) {
        if (hasStoppedAnswering) {
            context.getDirectChannelAccess().getChannel().close();
        } else {
            context.next();
        }
    }

    private static void authorise(Context context) {
        if (("Bearer " + TOKEN).equals(context.getRequest().getHeaders().get("Authorization"))) {
            context.next();
        } else {
            context.getResponse().status(401).send("");
        }
    }

    private synchronized String metricsText() {
        return metrics;
    }

    private synchronized RouterStatus status() {
        PeerStatus peer = new PeerStatus("r2", true, true, 1, Math.min(peerRevision, revision));
        return new RouterStatus(
                "r1",
                "dc1",
                true,
                false,
                true,
                true,
                true,
                1,
                revision,
                0,
                List.of(peer),
                servers,
                List.of(),
                List.of());
    }

    private void configuration(Context context) throws Exception {
        context.byMethod(spec -> spec.get(() -> context.render(json.writeValueAsString(view())))
                .put(() ->
                        context.getRequest().getBody().then(body -> propose(context, json.readTree(body.getText())))));
    }

    private synchronized Map<String, Object> view() {
        return Map.of(
                "revision", revision,
                "writeId", "w" + revision,
                "documentText", documentText,
                "dataCentresOut", dataCentresOut,
                "serversDrained", serversDrained,
                "history", history);
    }

    private synchronized void propose(Context context, JsonNode proposal) throws Exception {
        if (!context.getRequest().getContentType().isJson()) {
            context.getResponse().status(415).send("application/problem+json", "{\"title\":\"not JSON\"}");
            return;
        }
        beforeProposal.run();
        if (proposal.get("baseRevision").asLong() != revision) {
            Map<String, Object> problem =
                    Map.of("code", "DSC-1008", "currentRevision", revision, "history", history, "status", 409);
            context.getResponse().status(409).send("application/problem+json", json.writeValueAsString(problem));
            return;
        }
        accept(proposal);
        if (dropsNextProposalAnswer || hasStoppedAnswering) {
            dropsNextProposalAnswer = false;
            context.getDirectChannelAccess().getChannel().close();
            return;
        }
        context.getResponse().send("application/json", json.writeValueAsString(Map.of("revision", revision)));
    }

    private void accept(JsonNode proposal) {
        if (proposal.hasNonNull("documentText")) {
            documentText = proposal.get("documentText").asText();
        }
        replace(dataCentresOut, proposal.get("dataCentresOut"));
        replace(serversDrained, proposal.get("serversDrained"));
        record(
                proposal.get("author").asText(),
                proposal.get("summary").asText(),
                proposal.get("reason").asText());
    }

    private static void replace(Set<String> names, JsonNode proposed) {
        if (proposed != null && !proposed.isNull()) {
            names.clear();
            proposed.forEach(name -> names.add(name.asText()));
        }
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
