package org.daisyscale.router.internal.operator;

import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.util.concurrent.CompletableFuture;
import org.daisyscale.core.Action;
import org.daisyscale.core.error.ErrorCode;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * The HTTP server for operators and monitoring. Serves {@code /healthz}, {@code /readyz} and {@code /metrics} without
 * authentication, and {@code /operator/...} to callers with the operator token. Safe for use by several threads.
 *
 * <pre>{@code
 * curl -H "Authorization: Bearer $TOKEN" http://127.0.0.1:8081/operator/status
 * }</pre>
 */
public final class OperatorFront implements AutoCloseable {
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_PROPOSAL_BYTES = 2 * 1024 * 1024;

    private final OperatorToken token;
    private final OperatorRequests requests;
    private final LatestConfiguration latestConfiguration;
    private final ProposalHandler proposals;
    private final RouterMetrics metrics;
    private final RatpackServer server;

    private OperatorFront(
            OperatorSettings settings,
            OperatorRequests requests,
            LatestConfiguration latestConfiguration,
            DocumentParser documents,
            RouterMetrics metrics) {
        this.token = settings.token();
        this.requests = requests;
        this.latestConfiguration = latestConfiguration;
        this.proposals = new ProposalHandler(documents, latestConfiguration, requests);
        this.metrics = metrics;
        this.server = listen(settings);
    }

    /**
     * Starts the server at the host and port of {@code settings}.
     *
     * @throws ShellException if the server can't listen at that address
     */
    public static OperatorFront start(
            OperatorSettings settings,
            OperatorRequests requests,
            LatestConfiguration latestConfiguration,
            DocumentParser documents,
            RouterMetrics metrics) {
        return new OperatorFront(settings, requests, latestConfiguration, documents, metrics);
    }

    private RatpackServer listen(OperatorSettings settings) {
        try {
            return RatpackServer.start(spec -> spec.serverConfig(
                            config -> config.address(InetAddress.getByName(settings.host()))
                                    .port(settings.port())
                                    .threads(1)
                                    .maxContentLength(MAX_PROPOSAL_BYTES)
                                    .development(false)
                                    .registerShutdownHook(false))
                    .handlers(this::routes));
        } catch (Exception e) {
            throw new ShellException(
                    ShellErrorCode.CANNOT_LISTEN, "operators at " + settings.host() + ":" + settings.port(), e);
        }
    }

    private void routes(Chain chain) throws Exception {
        chain.get("healthz", context -> OperatorReply.json(new Health("ok")).writeTo(context.getResponse()))
                .get("readyz", this::readiness)
                .get("metrics", this::metrics)
                .prefix(
                        "operator",
                        operator -> operator.all(this::checkToken)
                                .get("status", this::status)
                                .path(
                                        "configuration",
                                        context -> context.byMethod(method ->
                                                method.get(this::configuration).put(this::propose))))
                .all(context ->
                        problem(NOT_FOUND, ShellErrorCode.NO_SUCH_RESOURCE, "").writeTo(context.getResponse()));
    }

    private void checkToken(Context context) {
        if (token.matches(context.getRequest().getHeaders().get("Authorization"))) {
            context.next();
        } else {
            problem(UNAUTHORIZED, ShellErrorCode.UNAUTHORIZED, "").writeTo(context.getResponse());
        }
    }

    private void readiness(Context context) {
        send(context, requests.requestStatus().thenApply(OperatorFront::readiness));
    }

    private static OperatorReply readiness(Action.AnswerStatus answer) {
        boolean isReady = answer.status().isReady();
        OperatorReply reply = OperatorReply.json(new Health(isReady ? "ready" : "not-ready"));
        return isReady ? reply : new OperatorReply(UNAVAILABLE, reply.mediaType(), reply.body());
    }

    private void metrics(Context context) {
        context.getResponse().send(metrics.mediaType(), metrics.exposition());
    }

    private void status(Context context) {
        send(context, requests.requestStatus().thenApply(answer -> OperatorReply.json(answer.status())));
    }

    private void configuration(Context context) {
        OperatorReply.json(latestConfiguration.get().map(ConfigurationView::of).orElse(ConfigurationView.none()))
                .writeTo(context.getResponse());
    }

    private void propose(Context context) {
        context.getRequest().getBody().then(body -> send(context, propose(body.getBytes())));
    }

    private CompletableFuture<OperatorReply> propose(byte[] body) {
        try {
            ConfigurationProposal proposal = Json.read(body, ConfigurationProposal.class);
            return ProposalRules.findMistake(proposal)
                    .map(mistake -> CompletableFuture.completedFuture(malformed(mistake)))
                    .orElseGet(() -> proposals.propose(proposal));
        } catch (UncheckedIOException e) {
            return CompletableFuture.completedFuture(malformed(e.getMessage()));
        }
    }

    private static OperatorReply malformed(String detail) {
        return problem(BAD_REQUEST, ShellErrorCode.MALFORMED_PROPOSAL, detail);
    }

    private static void send(Context context, CompletableFuture<OperatorReply> reply) {
        Promise.<OperatorReply>async(downstream -> downstream.accept(reply))
                .mapError(failure -> problem(UNAVAILABLE, ShellErrorCode.NO_OPERATOR_ANSWER, ""))
                .then(ready -> ready.writeTo(context.getResponse()));
    }

    private static OperatorReply problem(int status, ErrorCode code, String detail) {
        return OperatorReply.problem(OperatorProblem.of(status, code, detail));
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new ShellException(ShellErrorCode.STOPPED_BY_FAULT, "the operators' HTTP server failed to stop", e);
        }
    }

    /**
     * The body of the reply to a health or readiness check. Immutable.
     *
     * @param status {@code ok}, {@code ready} or {@code not-ready}
     */
    record Health(String status) {}
}
