package org.daisyscale.router.internal.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.StoreDialect;
import org.daisyscale.router.serving.StoreException;
import org.daisyscale.router.serving.WireCall;
import org.daisyscale.router.serving.WireReply;

/** The one client of the platform's store. Safe for use by several threads, but not for the event loop's own. */
public final class StoreClient implements CoordinationStore {
    /** The time for an answer that needs no waiting to begin, in milliseconds: over a hundred times the usual. */
    private static final long BEGIN_MILLIS = 600;
    /** What a watch may take to begin its answer beyond its wait, in milliseconds. */
    private static final long WATCH_MARGIN_MILLIS = 1_500;
    /** How long nothing more of an answer may come, in milliseconds: a lost packet is sent again sooner. */
    private static final long PAUSE_MILLIS = 600;
    /** The time for a whole answer once it has begun, in milliseconds: a megabyte on the slowest links. */
    private static final long WHOLE_MILLIS = 8_000;
    /** Calls without waiting. */
    private static final CallLimit USUAL = limit(0, BEGIN_MILLIS);
    /** How much longer than the call the caller waits for its end, in milliseconds. */
    private static final long END_MARGIN_MILLIS = 1_000;

    /** How often a call that waits is looked at, in milliseconds. */
    private static final long LOOK_MILLIS = 100;

    private static final int BUSY = 503;
    private static final int TOO_MANY = 429;

    private final HttpLoop loop;
    private final Address address;
    private final StoreDialect dialect;

    /** Creates a client of the store at {@code address} that makes its calls on {@code loop}. */
    public StoreClient(HttpLoop loop, Address address, StoreDialect dialect) {
        this.loop = loop;
        this.address = address;
        this.dialect = dialect;
    }

    @Override
    public Optional<Item> get(String key) {
        return dialect.readItem(call(dialect.get(key)));
    }

    @Override
    public Listing list(String prefix) {
        List<Item> items = new ArrayList<>();
        StoreDialect.Page page = dialect.readPage(call(dialect.list(prefix, "")));
        long revision = page.listing().revision();
        items.addAll(page.listing().items());
        while (page.hasMore() && !page.listing().items().isEmpty()) {
            String last = items.get(items.size() - 1).key();
            page = dialect.readPage(call(dialect.list(prefix, last)));
            items.addAll(page.listing().items());
        }
        return new Listing(items, revision);
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        CallLimit limit = limit(wait.toMillis(), WATCH_MARGIN_MILLIS);
        PendingCall pending = start(dialect.watch(prefix, afterRevision, wait), limit);
        Optional<HttpCall.End> end = pending.awaitUnless(isOverdue, limit);
        if (end.isEmpty()) {
            EventLog.info(
                    "store-watch-overdue",
                    "prefix=%s revision=%d receivedBytes=%d waitMillis=%d"
                            .formatted(prefix, afterRevision, pending.call.receivedBytes(), wait.toMillis()));
            return Optional.empty();
        }
        return dialect.readChanges(answer(prefix, end.get()));
    }

    @Override
    public WriteResult write(Change change) {
        HttpCall.End end = end(dialect.write(change));
        if (!end.isAnswered()) {
            boolean isUnknown = end.failure() == HttpCall.Failure.LOST || end.failure() == HttpCall.Failure.SPOILED;
            return new WriteResult(isUnknown ? WriteOutcome.UNKNOWN : WriteOutcome.REFUSED, 0);
        }
        return dialect.readWriteEnd(notTurnedAway(end.reply()));
    }

    @Override
    public long grantLease(Duration timeToLive) {
        return dialect.readLease(call(dialect.grantLease(timeToLive)));
    }

    @Override
    public boolean renewLease(long leaseId) {
        return dialect.readRenewal(call(dialect.renewLease(leaseId)));
    }

    @Override
    public void endLease(long leaseId) {
        call(dialect.endLease(leaseId));
    }

    private static CallLimit limit(long waitMillis, long marginMillis) {
        long beginMillis = waitMillis + marginMillis;
        return new CallLimit(beginMillis, PAUSE_MILLIS, beginMillis + WHOLE_MILLIS);
    }

    private WireReply call(WireCall call) {
        return answer(call.target(), end(call));
    }

    private static WireReply answer(String target, HttpCall.End end) {
        if (!end.isAnswered()) {
            String detail = target + ": " + end.failure() + " " + end.detail();
            throw new StoreException(StoreException.Code.UNREACHABLE, detail, null);
        }
        return notTurnedAway(end.reply());
    }

    private static WireReply notTurnedAway(WireReply reply) {
        if (reply.status() == BUSY || reply.status() == TOO_MANY) {
            throw new StoreException(StoreException.Code.TURNED_AWAY, "status " + reply.status(), null);
        }
        return reply;
    }

    private HttpCall.End end(WireCall call) {
        return start(call, USUAL).awaitUnless(() -> false, USUAL).orElseThrow();
    }

    private PendingCall start(WireCall call, CallLimit limit) {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(1);
        HttpCall made = new HttpCall(
                address, request(call, address), limit, (sent, got) -> AnswerMatch.THIS_REQUEST, ends::add);
        loop.start(made);
        return new PendingCall(made, ends);
    }

    /** The HTTP request of {@code call}. */
    static FullHttpRequest request(WireCall call, Address address) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.jsonBody()));
        request.headers().set(HttpHeaderNames.HOST, address.host() + ":" + address.port());
        if (call.jsonBody().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        }
        if (call.jsonBody().length > 0 || !call.method().equals("GET")) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.jsonBody().length);
        }
        return request;
    }

    /** A call whose end one thread waits for. */
    private final class PendingCall {
        private final HttpCall call;
        private final BlockingQueue<HttpCall.End> ends;

        PendingCall(HttpCall call, BlockingQueue<HttpCall.End> ends) {
            this.call = call;
            this.ends = ends;
        }

        /** The end of the call; empty when {@code isOverdue} held before the answer began and the call was given up. */
        Optional<HttpCall.End> awaitUnless(BooleanSupplier isOverdue, CallLimit limit) {
            long endNanos = System.nanoTime() + (limit.wholeMillis() + END_MARGIN_MILLIS) * 1_000_000L;
            try {
                while (System.nanoTime() - endNanos < 0) {
                    HttpCall.End end = ends.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
                    if (end != null) {
                        return Optional.of(end);
                    }
                    if (!call.hasBegun() && isOverdue.getAsBoolean()) {
                        loop.cancel(call);
                        return Optional.empty();
                    }
                }
                return Optional.of(new HttpCall.End(null, HttpCall.Failure.LOST, "the call never ended"));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                loop.cancel(call);
                return Optional.of(new HttpCall.End(null, HttpCall.Failure.LOST, "the router stops"));
            }
        }
    }
}
