package org.daisyscale.cli.internal.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.net.URI;
import java.util.stream.Collectors;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;
import org.daisyscale.codec.document.DocumentProblem;
import org.daisyscale.core.status.RouterStatus;
import ratpack.func.Action;
import ratpack.http.client.RequestSpec;

/** Calls one router's operator API over HTTP. Thread-safe. The caller must close the transport. */
public final class RatpackOperatorApi implements OperatorApi {
    private static final int OK = 200;
    private static final int UNAUTHORISED = 401;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;
    private static final String WRITE_OUTCOME_UNKNOWN_CODE = "DSC-2204";
    private static final int MAX_ERROR_STATUS = 599;
    private static final int MIN_ERROR_STATUS = 400;
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final HttpTransport transport;
    private final URI address;
    private final String token;

    /** Creates a client of the router at {@code address}, which has no path, that sends the operator's token. */
    public RatpackOperatorApi(HttpTransport transport, URI address, String token) {
        this.transport = transport;
        this.address = address;
        this.token = token;
    }

    @Override
    public String address() {
        return address.toString();
    }

    @Override
    public RouterStatus status() {
        return read(requireOk(get("/operator/status")), RouterStatus.class);
    }

    @Override
    public ConfigurationView configuration() {
        return read(requireOk(get("/operator/configuration")), ConfigurationView.class);
    }

    @Override
    public String metrics() {
        return requireOk(transport.send(address.resolve("/metrics"), RequestSpec::get))
                .body();
    }

    @Override
    public long propose(ConfigurationProposal proposal) {
        String body = write(proposal);
        HttpResponse response = transport.send(address.resolve("/operator/configuration"), authorised(request -> {
            request.put();
            request.getBody().type("application/json").text(body);
        }));
        if (response.status() == CONFLICT) {
            Problem problem = problem(response);
            throw new ConfigurationRaceException(proposal.baseRevision(), problem.currentRevision(), problem.history());
        }
        if (response.status() == UNAVAILABLE && problem(response).code().equals(WRITE_OUTCOME_UNKNOWN_CODE)) {
            throw new CliException(
                    CliErrorCode.ROUTER_UNREACHABLE,
                    "%s timed out before it learned whether the change was written".formatted(address));
        }
        return read(requireOk(response), Acceptance.class).revision();
    }

    /** The response to an accepted proposal. */
    private record Acceptance(long revision) {}

    private HttpResponse get(String path) {
        return transport.send(address.resolve(path), authorised(RequestSpec::get));
    }

    private Action<RequestSpec> authorised(Action<? super RequestSpec> spec) {
        return request -> {
            request.getHeaders().set("Authorization", "Bearer " + token);
            spec.execute(request);
        };
    }

    private HttpResponse requireOk(HttpResponse response) {
        if (response.status() == OK) {
            return response;
        }
        throw toException(response);
    }

    private CliException toException(HttpResponse response) {
        int status = response.status();
        if (status == UNAUTHORISED || status == FORBIDDEN) {
            return new CliException(CliErrorCode.NOT_AUTHORISED, "%s answered %d".formatted(address, status));
        }
        if (status == UNPROCESSABLE) {
            return new CliException(CliErrorCode.DOCUMENT_REFUSED, documentProblems(problem(response)));
        }
        if (status < MIN_ERROR_STATUS || status > MAX_ERROR_STATUS) {
            return new CliException(CliErrorCode.UNEXPECTED_ANSWER, "%s answered %d".formatted(address, status));
        }
        return new CliException(
                CliErrorCode.ROUTER_REFUSED,
                "%s answered %d %s".formatted(address, status, problem(response).describe()));
    }

    private static String documentProblems(Problem problem) {
        if (problem.problems().isEmpty()) {
            return problem.describe();
        }
        return problem.problems().stream().map(DocumentProblem::toString).collect(Collectors.joining("; "));
    }

    private Problem problem(HttpResponse response) {
        return read(response, Problem.class);
    }

    private <T> T read(HttpResponse response, Class<T> type) {
        try {
            T value = JSON.readValue(response.body(), type);
            if (value != null) {
                return value;
            }
            throw unexpected(response, null);
        } catch (JsonProcessingException cause) {
            throw unexpected(response, cause);
        }
    }

    private CliException unexpected(HttpResponse response, Throwable cause) {
        return new CliException(
                CliErrorCode.UNEXPECTED_ANSWER,
                "%s answered %d with an unreadable body".formatted(address, response.status()),
                cause);
    }

    private static String write(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException("failed to serialise a proposal", cause);
        }
    }
}
