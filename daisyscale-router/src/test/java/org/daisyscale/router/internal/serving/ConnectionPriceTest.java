package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures how many connections requests cost. Run by hand with {@code -Dprice.requests=4000}; adds a line to
 * {@code target/connection-price.txt} for each kind of server.
 */
@EnabledIfSystemProperty(named = "price.requests", matches = "\\d+")
class ConnectionPriceTest {
    private static final int REQUESTS = Integer.getInteger("price.requests", 0);
    private static final Path RESULTS = Path.of("target", "connection-price.txt");
    private static final int CALLERS = 8;
    private static final long PAUSE_MILLIS = 10;

    private final Map<Long, BlockingQueue<ServingEvent.AttemptEnded>> endedByRequest = new ConcurrentHashMap<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final HttpLoop loop = HttpLoop.start("price-calls");
    private final AttemptSender sender = new AttemptSender(loop, new NamedAnswersDialect(), this::recordEnd);

    private void recordEnd(ServingEvent.AttemptEnded ended) {
        endedByRequest.get(ended.requestId()).add(ended);
    }

    private AttemptOutcome attempt(Exchange exchange, int number, BackendServer server) throws InterruptedException {
        attempts.incrementAndGet();
        sender.send(exchange, new ServingAction.SendAttempt(exchange.requestId(), number, server, 2_000));
        return endedByRequest
                .get(exchange.requestId())
                .poll(5, TimeUnit.SECONDS)
                .outcome();
    }

    /** Sends one request, and once more to the same server after a refusal. */
    private void request(long number, BackendServer server) throws InterruptedException {
        endedByRequest.put(number, new ArrayBlockingQueue<>(2));
        String id = "r" + number;
        RequestHead head = new RequestHead("h", "/", 2_000, RequestHead.NO_KEY, 0, id);
        Exchange exchange =
                new Exchange(number, head, "GET", "/", new DefaultHttpHeaders().add("Id", id), new byte[0], end -> {});
        AttemptOutcome outcome = attempt(exchange, 1, server);
        if (outcome == AttemptOutcome.REFUSED_NOT_OWNER) {
            outcome = attempt(exchange, 2, server);
        }
        if (outcome != AttemptOutcome.ANSWERED) {
            unanswered.incrementAndGet();
        }
        endedByRequest.remove(number);
    }

    private Thread startCaller(int caller, BackendServer server) {
        Thread thread = new Thread(() -> {
            Random random = new Random(caller);
            try {
                for (int index = 0; index < REQUESTS / CALLERS; index++) {
                    request((long) caller * REQUESTS + index, server);
                    Thread.sleep(random.nextLong(2 * PAUSE_MILLIS));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.start();
        return thread;
    }

    @ParameterizedTest(name = "refused {0}, copied {1}")
    @CsvSource({"0, 0", "0.2, 0", "0, 0.1", "0.2, 0.1"})
    void shouldMeasureTheNewConnectionsForEachRequest(double refusedShare, double copiedShare) throws Exception {
        try (CopyingServer copying = new CopyingServer(refusedShare, copiedShare);
                HttpLoop closedAtEnd = loop) {
            BackendServer server =
                    new BackendServer("s1", 7, "pooled", "127.0.0.1", copying.port(), "dc1", 3, false, 0);
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(startCaller(caller, server));
            }
            for (Thread caller : callers) {
                caller.join();
            }
            int requests = REQUESTS / CALLERS * CALLERS;
            String result = String.format(
                    "refused=%.1f copied=%.1f requests=%d attempts=%d connections=%d connectionsPerRequest=%.4f "
                            + "refusals=%d copies=%d unanswered=%d%n",
                    refusedShare,
                    copiedShare,
                    requests,
                    attempts.get(),
                    copying.connections(),
                    (double) copying.connections() / requests,
                    copying.refusals(),
                    copying.copies(),
                    unanswered.get());
            Files.writeString(RESULTS, result, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            assertThat(attempts.get()).isGreaterThanOrEqualTo(requests);
        } catch (IOException e) {
            throw new AssertionError("the server could not listen", e);
        }
    }
}
