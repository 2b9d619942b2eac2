package org.daisyscale.router.serving;

import io.netty.handler.codec.http.HttpHeaders;
import org.daisyscale.core.serving.RequestHead;

/** The protocol of callers, as far as it decides how requests are routed. Implementations are stateless. */
public interface CallerDialect {

    /**
     * Returns what decides on a request for {@code path} with {@code headers}; headers that cannot be parsed count as
     * absent.
     */
    RequestHead readHead(String path, HttpHeaders headers, int bodyBytes);

    /** Returns the value of the Retry-After header for {@code millis} milliseconds. */
    String retryAfter(long millis);
}
