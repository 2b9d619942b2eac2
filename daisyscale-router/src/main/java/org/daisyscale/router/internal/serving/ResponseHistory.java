package org.daisyscale.router.internal.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.daisyscale.core.serving.CarriedCalls;
import org.daisyscale.router.internal.serving.ExtraResponse.Kind;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * Records what one connection carried, and reports each response that no call was waiting for. Not thread-safe;
 * confined to the thread of its event loop.
 */
final class ResponseHistory {
    private final Address server;
    private final ExtraResponseListener listener;
    private final CarriedCalls carriedCalls = new CarriedCalls();
    private Optional<Function<HttpHeaders, Optional<String>>> requestIds = Optional.empty();
    private String serverId = ExtraResponse.UNKNOWN_SERVER;

    ResponseHistory(Address server, ExtraResponseListener listener) {
        this.server = server;
        this.listener = listener;
    }

    /** Returns whether no response to an earlier call can be taken for that to {@code call}. */
    boolean mayCarry(HttpCall call) {
        return call.responseName().map(carriedCalls::mayCarry).orElse(true);
    }

    /** Returns whether the connection must be closed, since it carried as many calls as can be remembered. */
    boolean isFull() {
        return carriedCalls.isFull();
    }

    void recordSent(HttpCall call) {
        requestIds = call.requestIds().or(() -> requestIds);
        serverId = call.serverId().orElse(serverId);
        call.responseName().ifPresent(carriedCalls::recordSent);
    }

    void recordAnswered(HttpCall call, long nowNanos) {
        call.responseName().ifPresent(name -> carriedCalls.recordAnswered(name, nowNanos));
    }

    /** Reports a response that does not belong to {@code inFlight}, which is null on an idle connection. */
    void reportExtra(HttpResponse head, String connectionId, HttpCall inFlight) {
        String requestId = requestIds.flatMap(ids -> ids.apply(head.headers())).orElse(HttpCall.NO_REQUEST_ID);
        OptionalLong firstNanos = carriedCalls.firstAnswerNanos(requestId);
        Kind kind = requestId.equals(HttpCall.NO_REQUEST_ID)
                ? Kind.UNNAMED
                : firstNanos.isPresent() ? Kind.COPY : Kind.FOREIGN;
        long millisSinceFirst = kind == Kind.COPY ? millisSince(firstNanos.getAsLong()) : ExtraResponse.NO_FIRST;
        listener.onExtraResponse(new ExtraResponse(
                kind,
                requestId,
                head.status().code(),
                serverId,
                server,
                connectionId,
                millisSinceFirst,
                describe(inFlight)));
    }

    /** Reports {@code bytes} that were received while the connection was idle; they are neither kept nor released. */
    void reportUnexpected(ByteBuf bytes, String connectionId) {
        ResponseHeads.decode(bytes)
                .ifPresentOrElse(
                        head -> reportExtra(head, connectionId, null),
                        () -> listener.onExtraResponse(new ExtraResponse(
                                Kind.NOT_A_RESPONSE,
                                HttpCall.NO_REQUEST_ID,
                                0,
                                serverId,
                                server,
                                connectionId,
                                ExtraResponse.NO_FIRST,
                                ExtraResponse.NOTHING_IN_FLIGHT)));
    }

    private static String describe(HttpCall inFlight) {
        return inFlight == null
                ? ExtraResponse.NOTHING_IN_FLIGHT
                : inFlight.responseName().orElse(HttpCall.NO_REQUEST_ID);
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000L;
    }
}
