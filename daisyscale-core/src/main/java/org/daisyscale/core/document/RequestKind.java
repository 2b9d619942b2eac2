package org.daisyscale.core.document;

/**
 * Defines how one kind of request is recognised and handled. Immutable.
 *
 * @param name the kind's name, unique within its service
 * @param method the HTTP method, in upper case
 * @param pathTemplate the path after the job name, such as {@code /slots/{key}}
 * @param keySource the part of the request that contains the key
 * @param keyName the name of the path variable, header or query parameter that holds the key
 * @param isIdempotent whether a request may safely run more than once
 * @param deadlineMillis the maximum time from the arrival of a request to its answer, in milliseconds
 * @param maxAttempts the maximum number of attempts, including the first
 * @param backoffMillis the delay before the first retry, in milliseconds; it doubles with each further retry
 * @param hedgePercentile the percentile of the service time after which an idempotent request to a pooled service is
 *     hedged; 0 to disable hedging
 * @param concurrencyLimit the maximum number of requests of this kind in flight in one dispatch range; 0 for no limit
 * @param bodyLimitBytes the maximum body size, in bytes
 * @param objective the service-level objective
 */
public record RequestKind(
        String name,
        String method,
        String pathTemplate,
        KeySource keySource,
        String keyName,
        boolean isIdempotent,
        long deadlineMillis,
        int maxAttempts,
        long backoffMillis,
        int hedgePercentile,
        int concurrencyLimit,
        long bodyLimitBytes,
        Objective objective) {}
