package org.daisyscale.testkit.load;

import java.util.List;
import java.util.concurrent.Phaser;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.daisyscale.testkit.duty.Duty;
import org.tinylog.Logger;

/**
 * One open-loop run: requests begin when the plan says so, whatever the answers do, and a request's latency counts from
 * its intended start. The calling thread keeps the schedule; a duty of its own takes the results. A full ring of
 * results makes the client's threads wait, and loses none.
 *
 * <pre>{@code
 * LoadSummary summary = new LoadRun(plan, addresses, new RetryRule.RefusedConnections(3)).run();
 * }</pre>
 */
public final class LoadRun {
    private static final int RESULT_RING_CAPACITY = 65_536;
    private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double NANOS_PER_MILLI = 1e6;

    private final LoadPlan plan;
    private final RouterAddresses addresses;
    private final RetryRule retryRule;
    private final Consumer<LoadResult> onResult;
    private final LoadStatistics statistics = new LoadStatistics();
    private final Phaser open = new Phaser(1);
    private long notSentCount;
    private long startLagMaxNanos;

    /** A run whose results only go into its summary. */
    public LoadRun(LoadPlan plan, List<String> addresses, RetryRule retryRule) {
        this(plan, addresses, retryRule, result -> {});
    }

    /** A run that also hands each result to {@code onResult}, on one thread. */
    public LoadRun(LoadPlan plan, List<String> addresses, RetryRule retryRule, Consumer<LoadResult> onResult) {
        this.plan = plan;
        this.addresses = new RouterAddresses(addresses);
        this.retryRule = retryRule;
        this.onResult = onResult;
    }

    /** Sends the plan's requests, waits for all ends, and returns what was measured. */
    public LoadSummary run() {
        try (Duty<LoadResult> results = Duty.start("load-results", RESULT_RING_CAPACITY, new Collecting());
                LoadClient client = new LoadClient(addresses, retryRule, plan.timeoutMillis())) {
            long startNanos = System.nanoTime();
            sendAll(client, results, startNanos);
            open.arriveAndAwaitAdvance();
            long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            return statistics.summary(notSentCount, durationMillis, startLagMaxNanos);
        }
    }

    private void sendAll(LoadClient client, Duty<LoadResult> results, long startNanos) {
        RequestSource source = new RequestSource(plan);
        Semaphore waiting = new Semaphore(plan.inFlightLimit());
        LoadRequest request = source.next();
        while (request.intendedNanos() < plan.durationMillis() * NANOS_PER_MILLI) {
            long lagNanos = awaitStart(startNanos + request.intendedNanos());
            startLagMaxNanos = Math.max(startLagMaxNanos, isMeasured(request) ? lagNanos : 0);
            if (waiting.tryAcquire()) {
                send(client, request, results, startNanos, waiting);
            } else {
                notSentCount += isMeasured(request) ? 1 : 0;
            }
            request = source.next();
        }
    }

    private static long awaitStart(long intendedNanos) {
        long leftNanos = intendedNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = intendedNanos - System.nanoTime();
        }
        return -leftNanos;
    }

    private boolean isMeasured(LoadRequest request) {
        return request.intendedNanos() >= plan.warmUpMillis() * NANOS_PER_MILLI;
    }

    private void send(
            LoadClient client, LoadRequest request, Duty<LoadResult> results, long startNanos, Semaphore waiting) {
        open.register();
        client.send(request, startNanos).whenComplete((result, failure) -> {
            waiting.release();
            if (failure == null) {
                hand(results, result);
            } else {
                Logger.error(failure, "load-request-failed");
                open.arriveAndDeregister();
            }
        });
    }

    private static void hand(Duty<LoadResult> results, LoadResult result) {
        try {
            results.put(result);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the results. */
    private final class Collecting implements Duty.Work<LoadResult> {
        @Override
        public void take(LoadResult result) {
            try {
                if (isMeasured(result.request())) {
                    statistics.add(result);
                }
                onResult.accept(result);
            } finally {
                open.arriveAndDeregister();
            }
        }

        @Override
        public long doDue() {
            return IDLE_NANOS;
        }
    }
}
