package org.daisyscale.router.internal.request;

import java.util.List;
import org.daisyscale.core.request.RequestMeta;

/**
 * A caller's request with its complete body. Immutable, provided that nobody modifies the body array.
 *
 * @param requestId the id, unique within this router
 * @param meta the part of the request that the core decides on
 * @param headers the end-to-end headers as sent
 * @param body the complete body
 * @param arrivedNanos the monotonic time when the request's headers arrived, in nanoseconds
 */
public record CallerRequest(
        String requestId, RequestMeta meta, List<HeaderField> headers, byte[] body, long arrivedNanos) {

    public CallerRequest {
        headers = List.copyOf(headers);
    }
}
