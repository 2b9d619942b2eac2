package org.daisyscale.router.internal.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds the requests between arrival and reply. A request is removed when it is replied to; a caller's disconnection
 * counts as a reply. Thread-safe; no method blocks.
 *
 * <pre>{@code
 * pending.add(new PendingRequest(request, reservation, downstream::success));
 * pending.reply(requestId, reply);
 * }</pre>
 */
public final class PendingRequests {
    private final Map<String, PendingRequest> byRequestId = new ConcurrentHashMap<>();

    /** Adds a pending request. */
    public void add(PendingRequest pending) {
        byRequestId.put(pending.request().requestId(), pending);
    }

    /** Returns the request {@code requestId}, or empty if it was replied to or its caller disconnected. */
    public Optional<PendingRequest> find(String requestId) {
        return Optional.ofNullable(byRequestId.get(requestId));
    }

    /** Replies to {@code requestId} and removes it; returns false if it is no longer pending. */
    public boolean reply(String requestId, CallerReply reply) {
        PendingRequest pending = byRequestId.remove(requestId);
        if (pending == null) {
            return false;
        }
        pending.reply(reply);
        return true;
    }

    /** Returns the number of pending requests. */
    public int size() {
        return byRequestId.size();
    }
}
