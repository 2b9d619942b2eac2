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
import java.util.concurrent.atomic.AtomicLong;
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

/**
 * The client of the platform's store. Calls block. Responses bear nothing that names their call, so a write counts as
 * accepted only at a revision above all that this client knew before it sent the write.
 *
 * <p>Thread-safe, but must not be called by the thread of the event loop.
 */
public final class StoreClient implements CoordinationStore {
    /**
     * Timeout until the response to a call that does not wait begins, in milliseconds: over a hundred times the usual
     * latency.
     */
    private static final long FIRST_PART_TIMEOUT_MILLIS = 600;
    /** How much longer than its wait a watch may take to begin its response, in milliseconds. */
    private static final long WATCH_MARGIN_MILLIS = 1_500;
    /** Longest time between two parts of a response, in milliseconds: a lost packet is retransmitted sooner. */
    private static final long IDLE_TIMEOUT_MILLIS = 600;
    /** Time for the whole response once it has begun, in milliseconds: enough for a megabyte on the slowest links. */
    private static final long BODY_TIMEOUT_MILLIS = 8_000;
    /** Time after which no further page of a listing is requested, in milliseconds: as for a single response. */
    private static final long LISTING_TIMEOUT_MILLIS = FIRST_PART_TIMEOUT_MILLIS + BODY_TIMEOUT_MILLIS;
    /** Timeouts of calls that do not wait. */
    private static final CallTimeouts DEFAULT_TIMEOUTS = timeouts(0, FIRST_PART_TIMEOUT_MILLIS);
    /** How much longer than the total timeout of a call its caller waits for the end, in milliseconds. */
    private static final long END_MARGIN_MILLIS = 1_000;

    /** Interval at which a pending call is checked for being overdue, in milliseconds. */
    private static final long OVERDUE_CHECK_MILLIS = 100;

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;

    private final HttpLoop loop;
    private final Address address;
    private final StoreDialect dialect;
    private final long listingTimeoutMillis;
    /** The highest revision of an item that was read one by one, or of an accepted write. */
    private final AtomicLong knownRevision = new AtomicLong();

    /** Creates a client of the store at {@code address} that makes its calls on {@code loop}. */
    public StoreClient(HttpLoop loop, Address address, StoreDialect dialect) {
        this(loop, address, dialect, LISTING_TIMEOUT_MILLIS);
    }

    /** Creates a client that requests no further page of a listing after {@code listingTimeoutMillis}. */
    StoreClient(HttpLoop loop, Address address, StoreDialect dialect, long listingTimeoutMillis) {
        this.loop = loop;
        this.address = address;
        this.dialect = dialect;
        this.listingTimeoutMillis = listingTimeoutMillis;
    }

    @Override
    public Optional<Item> get(String key) {
        Optional<Item> item = dialect.readItem(call(dialect.get(key)));
        item.ifPresent(found -> recordRevision(found.revision()));
        return item;
    }

    @Override
    public Listing list(String prefix) {
        List<Item> items = new ArrayList<>();
        long startNanos = System.nanoTime();
        StoreDialect.Page page = dialect.readPage(call(dialect.list(prefix, "")));
        long revision = page.listing().revision();
        items.addAll(page.listing().items());
        while (page.hasMore() && !page.listing().items().isEmpty()) {
            if (System.nanoTime() - startNanos >= listingTimeoutMillis * 1_000_000L) {
                String detail = "%s: %d items listed within %d ms, and there are more"
                        .formatted(prefix, items.size(), listingTimeoutMillis);
                throw new StoreException(StoreException.Code.UNREACHABLE, detail, null);
            }
            String last = items.get(items.size() - 1).key();
            page = dialect.readPage(call(dialect.list(prefix, last)));
            items.addAll(page.listing().items());
        }
        return new Listing(items, revision);
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        CallTimeouts timeouts = timeouts(wait.toMillis(), WATCH_MARGIN_MILLIS);
        PendingCall pending = start(dialect.watch(prefix, afterRevision, wait), timeouts);
        Optional<HttpCall.End> end = pending.awaitUnless(isOverdue, timeouts);
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
        long knownBefore = knownRevision.get();
        HttpCall.End end = end(dialect.write(change));
        if (!end.isAnswered()) {
            boolean isUnknown = end.failure() == HttpCall.Failure.LOST || end.failure() == HttpCall.Failure.SPOILED;
            return new WriteResult(isUnknown ? WriteOutcome.UNKNOWN : WriteOutcome.REFUSED, 0);
        }
        WriteResult result = dialect.readWriteResult(requireAccepted(end.reply()));
        if (result.outcome() == WriteOutcome.ACCEPTED && result.revision() <= knownBefore) {
            EventLog.warn(
                    "store-write-unproved",
                    "key=%s revision=%d: the response belongs to an earlier call, since revision %d was known before"
                            .formatted(change.key(), result.revision(), knownBefore));
            return new WriteResult(WriteOutcome.UNKNOWN, 0);
        }
        recordRevision(result.revision());
        return result;
    }

    private void recordRevision(long revision) {
        knownRevision.accumulateAndGet(revision, Math::max);
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

    private static CallTimeouts timeouts(long waitMillis, long marginMillis) {
        long beginMillis = waitMillis + marginMillis;
        return new CallTimeouts(beginMillis, IDLE_TIMEOUT_MILLIS, beginMillis + BODY_TIMEOUT_MILLIS);
    }

    private WireReply call(WireCall call) {
        return answer(call.target(), end(call));
    }

    private static WireReply answer(String target, HttpCall.End end) {
        if (!end.isAnswered()) {
            String detail = target + ": " + end.failure() + " " + end.detail();
            throw new StoreException(StoreException.Code.UNREACHABLE, detail, null);
        }
        return requireAccepted(end.reply());
    }

    private static WireReply requireAccepted(WireReply reply) {
        if (reply.status() == SERVICE_UNAVAILABLE || reply.status() == TOO_MANY_REQUESTS) {
            throw new StoreException(StoreException.Code.TURNED_AWAY, "status " + reply.status(), null);
        }
        return reply;
    }

    private HttpCall.End end(WireCall call) {
        return start(call, DEFAULT_TIMEOUTS)
                .awaitUnless(() -> false, DEFAULT_TIMEOUTS)
                .orElseThrow();
    }

    private PendingCall start(WireCall call, CallTimeouts timeouts) {
        BlockingQueue<HttpCall.End> ends = new ArrayBlockingQueue<>(1);
        HttpCall httpCall = new HttpCall(
                address, request(call, address), timeouts, (sent, got) -> AnswerMatch.THIS_REQUEST, ends::add);
        loop.start(httpCall);
        return new PendingCall(httpCall, ends);
    }

    /** Builds the HTTP request of {@code call}. */
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

        /**
         * Waits for the end of the call; returns empty when {@code isOverdue} held before the end, after cancelling the
         * call.
         */
        Optional<HttpCall.End> awaitUnless(BooleanSupplier isOverdue, CallTimeouts timeouts) {
            long endNanos = System.nanoTime() + (timeouts.totalMillis() + END_MARGIN_MILLIS) * 1_000_000L;
            try {
                while (System.nanoTime() - endNanos < 0) {
                    HttpCall.End end = ends.poll(OVERDUE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
                    if (end != null) {
                        return Optional.of(end);
                    }
                    if (isOverdue.getAsBoolean()) {
                        loop.cancel(call);
                        return Optional.empty();
                    }
                }
                return Optional.of(new HttpCall.End(
                        null, HttpCall.Failure.LOST, "the call did not end within its timeout", false));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                loop.cancel(call);
                return Optional.of(new HttpCall.End(
                        null, HttpCall.Failure.LOST, "interrupted because the router is stopping", false));
            }
        }
    }
}
