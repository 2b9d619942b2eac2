package org.daisyscale.core.request;

/**
 * The metadata of a caller's request; the body stays outside the core. Immutable.
 *
 * @param jobName the job name in the request's path
 * @param method the HTTP method, in upper case
 * @param path the path after the job name, starting with a slash
 * @param rawQuery the query string as sent, without the question mark; empty for none
 * @param headers the headers that keys may be read from
 * @param callerId the caller's id, for fair queueing
 * @param idempotencyKey the Idempotency-Key header; empty for none
 * @param bodyBytes the size of the body, in bytes
 * @param bodyDigest a digest of the body, stable across routers
 */
public record RequestMeta(
        String jobName,
        String method,
        String path,
        String rawQuery,
        KeyHeaders headers,
        String callerId,
        String idempotencyKey,
        long bodyBytes,
        String bodyDigest) {}
