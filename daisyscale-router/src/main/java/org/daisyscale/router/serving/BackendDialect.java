package org.daisyscale.router.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.LoadReport;

/** How backend servers are spoken to. Implementations are stateless. */
public interface BackendDialect {

    /** Adds to the headers of a request what {@code server} must know; it may work {@code timeLeftMillis}. */
    void addRequestHeaders(HttpHeaders headers, BackendServer server, long timeLeftMillis);

    /** Which request an answer with {@code answerHeaders} names where one with {@code requestHeaders} waits. */
    AnswerMatch match(HttpHeaders requestHeaders, HttpHeaders answerHeaders);

    /** What the whole answer to a request means. */
    AttemptOutcome outcome(WireReply reply);

    /** The load that the server reports with an answer; empty when it reports none that can be read. */
    Optional<LoadReport> load(HttpHeaders answerHeaders);

    /** The call that grants or renews a range; {@code handover} may be empty. */
    WireCall grant(int firstKey, int lastKey, long fence, long holdMillis, String handover);

    /** The call that takes a range back. */
    WireCall release(int firstKey, int lastKey, long fence);

    /** What a release's answer hands over; empty for nothing. */
    String handover(HttpHeaders answerHeaders);

    /** Whether {@code reply} to a release comes from a process that owns no keys at all. */
    boolean isFromAnotherProcess(WireReply reply);

    /** Whether {@code reply} to a grant says that the server knows a higher fence. */
    boolean isFenceTooLow(WireReply reply);
}
