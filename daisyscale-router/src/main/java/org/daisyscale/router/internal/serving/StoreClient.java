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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.EraRevision;
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
 * <p>The client adds the era of a response to the revisions in it. A call whose response is of an older era than a
 * response before has failed; one that depends on a revision or a lease of an older era is not made.
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
    private final StoreEra era = new StoreEra();
    /** The eras in which the leases were granted, by their ids, which a restored store may assign again. */
    private final Map<Long, Long> eraByLease = new ConcurrentHashMap<>();
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

    /** Makes {@code listener} receive each new era of the store, on the thread that reads the first response of it. */
    public void onNewEra(LongConsumer listener) {
        era.onChange(listener);
    }

    @Override
    public long era() {
        return era.current();
    }

    @Override
    public Optional<Item> get(String key) {
        WireReply reply = call(dialect.get(key));
        Optional<Item> item = dialect.readItem(reply).map(found -> StoreEra.addTo(found, dialect.era(reply)));
        item.ifPresent(found -> recordRevision(found.revision()));
        return item;
    }

    @Override
    public Listing list(String prefix) {
        List<Item> items = new ArrayList<>();
        long startNanos = System.nanoTime();
        WireReply first = call(dialect.list(prefix, ""));
        long listedEra = dialect.era(first);
        StoreDialect.Page page = dialect.readPage(first);
        long revision = page.listing().revision();
        items.addAll(page.listing().items());
        while (page.hasMore() && !page.listing().items().isEmpty()) {
            if (System.nanoTime() - startNanos >= listingTimeoutMillis * 1_000_000L) {
                String detail = "%s: %d items listed within %d ms, and there are more"
                        .formatted(prefix, items.size(), listingTimeoutMillis);
                throw new StoreException(StoreException.Code.UNREACHABLE, detail, null);
            }
            String last = items.get(items.size() - 1).key();
            WireReply next = call(dialect.list(prefix, last));
            requireEra(listedEra, next, prefix);
            page = dialect.readPage(next);
            items.addAll(page.listing().items());
        }
        return StoreEra.addTo(new Listing(items, revision), listedEra);
    }

    /** Throws unless the page is of the same era as the pages before. */
    private void requireEra(long listedEra, WireReply page, String prefix) {
        if (dialect.era(page) != listedEra) {
            String detail = prefix + ": the store was restored between two pages of the listing";
            throw new StoreException(StoreException.Code.OLD_ERA, detail, null);
        }
    }

    @Override
    public Optional<Changes> watch(String prefix, long afterRevision, Duration wait, BooleanSupplier isOverdue) {
        EraRevision after = EraRevision.unpack(afterRevision);
        if (after.era() != era.current()) {
            EventLog.info("store-watch-obsolete", "prefix=%s revision=%s era=%d".formatted(prefix, after, era()));
            return Optional.empty();
        }
        CallTimeouts timeouts = timeouts(wait.toMillis(), WATCH_MARGIN_MILLIS);
        PendingCall pending = start(dialect.watch(prefix, after.revision(), wait), timeouts);
        Optional<HttpCall.End> end = pending.awaitUnless(isOverdue, timeouts);
        if (end.isEmpty()) {
            EventLog.info(
                    "store-watch-overdue",
                    "prefix=%s revision=%s receivedBytes=%d waitMillis=%d"
                            .formatted(prefix, after, pending.call.receivedBytes(), wait.toMillis()));
            return Optional.empty();
        }
        WireReply reply = answer(prefix, end.get());
        return dialect.era(reply) == after.era()
                ? dialect.readChanges(reply).map(changes -> StoreEra.addTo(changes, after.era()))
                : Optional.empty();
    }

    @Override
    public WriteResult write(Change change) {
        long knownBefore = knownRevision.get();
        long eraBefore = era.current();
        if (!isOfEra(change, eraBefore)) {
            EventLog.info(
                    "store-write-obsolete",
                    "key=%s expectedRevision=%s lease=%d era=%d"
                            .formatted(
                                    change.key(),
                                    EraRevision.unpack(change.expectedRevision()),
                                    change.leaseId(),
                                    eraBefore));
            return new WriteResult(WriteOutcome.REFUSED, 0);
        }
        HttpCall.End end = end(dialect.write(StoreEra.removeFrom(change)));
        if (!end.isAnswered()) {
            boolean isUnknown = end.failure() == HttpCall.Failure.LOST || end.failure() == HttpCall.Failure.SPOILED;
            return new WriteResult(isUnknown ? WriteOutcome.UNKNOWN : WriteOutcome.REFUSED, 0);
        }
        WireReply reply = requireAccepted(end.reply());
        WriteResult result = StoreEra.addTo(dialect.readWriteResult(reply), dialect.era(reply));
        if (result.outcome() == WriteOutcome.ACCEPTED && dialect.era(reply) != eraBefore) {
            EventLog.warn("store-write-unproved", "key=" + change.key() + ": the store was restored meanwhile");
            return new WriteResult(WriteOutcome.UNKNOWN, 0);
        }
        if (result.outcome() == WriteOutcome.ACCEPTED && result.revision() <= knownBefore) {
            EventLog.warn(
                    "store-write-unproved",
                    "key=%s revision=%s: the response belongs to an earlier call, since revision %s was known before"
                            .formatted(
                                    change.key(),
                                    EraRevision.unpack(result.revision()),
                                    EraRevision.unpack(knownBefore)));
            return new WriteResult(WriteOutcome.UNKNOWN, 0);
        }
        recordRevision(result.revision());
        return result;
    }

    /** Returns whether the condition and the lease of {@code change} are of the era {@code current}. */
    private boolean isOfEra(Change change, long current) {
        boolean hasCondition = change.expectedRevision() != 0;
        return (!hasCondition || EraRevision.eraOf(change.expectedRevision()) == current)
                && (change.leaseId() == 0 || eraOfLease(change.leaseId()) == current);
    }

    private void recordRevision(long revision) {
        knownRevision.accumulateAndGet(revision, Math::max);
    }

    @Override
    public long grantLease(Duration timeToLive) {
        WireReply reply = call(dialect.grantLease(timeToLive));
        long leaseId = dialect.readLease(reply);
        eraByLease.put(leaseId, dialect.era(reply));
        return leaseId;
    }

    /** Returns the era of the lease; 0 if this client has not granted it, or not since it ended. */
    private long eraOfLease(long leaseId) {
        return eraByLease.getOrDefault(leaseId, 0L);
    }

    @Override
    public boolean renewLease(long leaseId) {
        long leaseEra = eraOfLease(leaseId);
        if (leaseEra != era.current()) {
            return false;
        }
        WireReply reply = call(dialect.renewLease(leaseId));
        boolean isRenewed = dialect.readRenewal(reply) && dialect.era(reply) == leaseEra;
        if (!isRenewed) {
            eraByLease.remove(leaseId, leaseEra);
        }
        return isRenewed;
    }

    @Override
    public void endLease(long leaseId) {
        if (eraOfLease(leaseId) == era.current()) {
            call(dialect.endLease(leaseId));
        }
        eraByLease.remove(leaseId);
    }

    private static CallTimeouts timeouts(long waitMillis, long marginMillis) {
        long beginMillis = waitMillis + marginMillis;
        return new CallTimeouts(beginMillis, IDLE_TIMEOUT_MILLIS, beginMillis + BODY_TIMEOUT_MILLIS);
    }

    private WireReply call(WireCall call) {
        return answer(call.target(), end(call));
    }

    private WireReply answer(String target, HttpCall.End end) {
        if (!end.isAnswered()) {
            String detail = target + ": " + end.failure() + " " + end.detail();
            boolean isRefused = end.failure() == HttpCall.Failure.CONNECTION_REFUSED;
            throw new StoreException(
                    isRefused ? StoreException.Code.CLOSED : StoreException.Code.UNREACHABLE, detail, null);
        }
        return requireAccepted(end.reply());
    }

    private WireReply requireAccepted(WireReply reply) {
        boolean isCurrent = era.record(dialect.era(reply));
        if (reply.status() == SERVICE_UNAVAILABLE || reply.status() == TOO_MANY_REQUESTS) {
            throw new StoreException(StoreException.Code.TURNED_AWAY, "status " + reply.status(), null);
        }
        if (!isCurrent) {
            String detail = "the response is of era %d, and era %d is known".formatted(dialect.era(reply), era());
            throw new StoreException(StoreException.Code.OLD_ERA, detail, null);
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
