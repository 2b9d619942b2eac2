package org.daisyscale.cli.internal.router;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Sends HTTP requests and blocks until their complete responses arrive. Owns one event loop. Thread-safe. */
public final class HttpTransport implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final Duration responseTimeout;
    private final ExecController execController;
    private final HttpClient client;

    /** Creates a transport that waits at most {@code responseTimeout} for each response, after connecting. */
    public HttpTransport(Duration responseTimeout) {
        this.responseTimeout = responseTimeout;
        this.execController = new DefaultExecController(1);
        this.client = openClient();
    }

    private HttpClient openClient() {
        try {
            return HttpClient.of(spec -> spec.execController(execController)
                    .maxContentLength(MAX_RESPONSE_BYTES)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(responseTimeout)
                    .useJdkAddressResolver());
        } catch (Exception cause) {
            execController.close();
            throw new CliException(CliErrorCode.ROUTER_UNREACHABLE, "the HTTP client failed to start", cause);
        }
    }

    /**
     * Sends the request that {@code spec} describes to {@code uri} and returns its response. Doesn't follow redirects.
     *
     * @throws CliException with {@link CliErrorCode#ROUTER_UNREACHABLE} if no complete response arrives in time
     */
    HttpResponse send(URI uri, Action<? super RequestSpec> spec) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        execController
                .fork()
                .onError(response::completeExceptionally)
                .start(execution -> client.request(uri, spec.prepend(request -> request.redirects(0)))
                        .map(HttpTransport::read)
                        .then(response::complete));
        return await(uri, response);
    }

    private HttpResponse await(URI uri, CompletableFuture<HttpResponse> response) {
        try {
            Duration timeout = CONNECT_TIMEOUT.plus(responseTimeout);
            return response.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException cause) {
            Thread.currentThread().interrupt();
            throw unreachable(uri, "the command was interrupted", cause);
        } catch (TimeoutException cause) {
            throw unreachable(uri, "no complete response within %d ms".formatted(responseTimeout.toMillis()), cause);
        } catch (ExecutionException failure) {
            throw unreachable(uri, failure.getCause().getMessage(), failure.getCause());
        }
    }

    private static CliException unreachable(URI uri, String reason, Throwable cause) {
        return new CliException(CliErrorCode.ROUTER_UNREACHABLE, "%s (%s)".formatted(uri, reason), cause);
    }

    private static HttpResponse read(ReceivedResponse response) {
        return new HttpResponse(response.getStatusCode(), response.getBody().getText());
    }

    @Override
    public void close() {
        client.close();
        execController.close();
    }
}
