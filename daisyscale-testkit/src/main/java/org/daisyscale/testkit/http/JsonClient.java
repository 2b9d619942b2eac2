package org.daisyscale.testkit.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/** Calls the control parts of stand-ins and routers. Safe for use by several threads. */
public final class JsonClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final String token;

    /** A client that shows {@code token} as a bearer; an empty one shows none. */
    public JsonClient(String token) {
        this.token = token;
    }

    /**
     * Sends {@code body} as JSON and returns the answer, whatever its status.
     *
     * @throws TestkitException when no answer comes
     */
    public HttpResponse<byte[]> send(String method, String url, Object body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .method(method, BodyPublishers.ofByteArray(Json.bytes(body)));
        return exchange(request);
    }

    /**
     * Gets {@code url} and returns the answer, whatever its status.
     *
     * @throws TestkitException when no answer comes
     */
    public HttpResponse<byte[]> get(String url) {
        return exchange(HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT));
    }

    private HttpResponse<byte[]> exchange(HttpRequest.Builder builder) {
        if (!token.isEmpty()) {
            builder.header("Authorization", "Bearer " + token);
        }
        HttpRequest request = builder.build();
        try {
            return http.send(request, BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw new TestkitException(
                    TestkitErrorCode.CALL_FAILED, request.uri().toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestkitException(TestkitErrorCode.CALL_FAILED, request.uri() + " interrupted", e);
        }
    }
}
