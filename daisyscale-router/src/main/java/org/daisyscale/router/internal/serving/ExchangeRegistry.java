package org.daisyscale.router.internal.serving;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.daisyscale.core.serving.RequestLimits;

/** Holds the requests without a final response, and the limits for new ones. Thread-safe. */
final class ExchangeRegistry {
    /** Limit of a request body before a configuration is known, in bytes. */
    private static final long INITIAL_MAX_BODY_BYTES = 64L << 20;

    private final Map<Long, Exchange> openById = new ConcurrentHashMap<>();
    private final Map<Long, Exchange> abandonedById = new ConcurrentHashMap<>();
    private volatile long maxBodyBytes = INITIAL_MAX_BODY_BYTES;

    void add(Exchange exchange) {
        openById.put(exchange.requestId(), exchange);
    }

    /** Returns the exchange; null when it has its final response. */
    Exchange find(long requestId) {
        return openById.get(requestId);
    }

    /** Removes and returns the exchange; null when it has its final response. */
    Exchange remove(long requestId) {
        return openById.remove(requestId);
    }

    /** Marks an exchange as abandoned by its caller; returns false when it had its final response before. */
    boolean abandon(long requestId) {
        Exchange exchange = openById.remove(requestId);
        if (exchange != null) {
            abandonedById.put(requestId, exchange);
        }
        return exchange != null;
    }

    /** Removes and returns an abandoned exchange; null when there is none. */
    Exchange removeAbandoned(long requestId) {
        return abandonedById.remove(requestId);
    }

    int size() {
        return openById.size();
    }

    void setLimits(RequestLimits limits) {
        maxBodyBytes = limits.maxBodyBytes();
    }

    long maxBodyBytes() {
        return maxBodyBytes;
    }
}
