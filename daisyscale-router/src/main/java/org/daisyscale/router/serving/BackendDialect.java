package org.daisyscale.router.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.CallerIdentity;
import org.daisyscale.core.serving.HealthReport;
import org.daisyscale.core.serving.LoadReport;
import org.daisyscale.core.serving.ServerNotice;

/** The protocol of backend servers. Implementations are stateless. */
public interface BackendDialect {

    /**
     * Adds to the headers of a request what {@code server} must know; the server may work on it for {@code
     * timeLeftMillis} milliseconds.
     */
    void addRequestHeaders(HttpHeaders headers, BackendServer server, long timeLeftMillis);

    /**
     * Removes from the headers of a request what callers say of themselves, and adds the organisation that {@code
     * caller} belongs to. Not called while the configuration has no organisations.
     */
    void setCaller(HttpHeaders headers, CallerIdentity caller);

    /** Returns the request id that a request or a response bears; empty if it bears none. */
    Optional<String> requestId(HttpHeaders headers);

    /**
     * Returns which request a response with {@code answerHeaders} names while a request with {@code requestHeaders}
     * waits.
     */
    AnswerMatch match(HttpHeaders requestHeaders, HttpHeaders answerHeaders);

    /** Returns what a complete response means for the attempt. */
    AttemptOutcome outcome(WireReply reply);

    /** Returns the load that the server reports with a response; empty when it reports none or it cannot be parsed. */
    Optional<LoadReport> load(HttpHeaders answerHeaders);

    /** Returns what the server announces with a complete response about the requests that follow. */
    ServerNotice notice(WireReply reply);

    /** Returns the health check of a server at {@code healthPath}. */
    WireCall healthCheck(String healthPath);

    /** Adds to the headers of a health check that only the server {@code serverId} may answer it. */
    void addHealthCheckHeaders(HttpHeaders headers, String serverId);

    /** Returns what a server says of itself in its response to a health check. */
    HealthReport health(WireReply reply);

    /**
     * Returns the call that grants or renews a range for {@code holdMillis} milliseconds; {@code handover} may be
     * empty.
     */
    WireCall grant(int firstKey, int lastKey, long fence, long holdMillis, String handover);

    /** Returns the call that releases a range. */
    WireCall release(int firstKey, int lastKey, long fence);

    /** Returns what the response to a release hands over; empty for nothing. */
    String handover(HttpHeaders answerHeaders);

    /** Returns whether {@code reply} to a release comes from a process that owns no keys at all. */
    boolean isFromAnotherProcess(WireReply reply);

    /** Returns whether {@code reply} to a grant says that the server knows a higher fence. */
    boolean isFenceTooLow(WireReply reply);
}
