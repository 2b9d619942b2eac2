package org.daisyscale.testkit.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.daisyscale.testkit.backend.Digest;
import org.daisyscale.testkit.http.Json;

/** Counts results and checks that each answer belongs to its request. Not safe for use by several threads. */
public final class LoadStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Histogram> latencies = new TreeMap<>();
    private final Histogram refusals = new Histogram(SIGNIFICANT_DIGITS);
    private long count;
    private long wrongCount;

    /** Counts {@code result}. */
    public void add(LoadResult result) {
        count++;
        String code = result.code().isEmpty() ? "" : " " + result.code();
        outcomes.merge(result.end() + " " + result.status() + code, 1L, Long::sum);
        if (result.end() == AttemptEnd.ANSWERED) {
            addLatency("all", result.latencyNanos());
            addLatency(result.request().kind().name(), result.latencyNanos());
            wrongCount += isWrong(result) ? 1 : 0;
        } else if (result.end() == AttemptEnd.NOT_RUN) {
            refusals.recordValue(Math.max(0, result.latencyNanos()));
        }
    }

    private void addLatency(String name, long latencyNanos) {
        latencies
                .computeIfAbsent(name, missing -> new Histogram(SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, latencyNanos));
    }

    /** Whether a server's answer names another request than the one sent. */
    public static boolean isWrong(LoadResult result) {
        if (result.status() != 200) {
            return false;
        }
        JsonNode echo = Json.tree(result.body());
        LoadRequest request = result.request();
        return !echo.path("path").asText().equals(request.path())
                || !echo.path("idempotencyKey").asText().equals(request.id())
                || echo.path("bodyBytes").asInt() != request.body().length
                || !echo.path("bodySha256").asText().equals(Digest.sha256(request.body()));
    }

    /** The results counted so far. */
    public long count() {
        return count;
    }

    /** What was measured. */
    public LoadSummary summary(long notSentCount, long durationMillis, long startLagMaxNanos) {
        Map<String, LoadSummary.Latency> kinds = new TreeMap<>();
        latencies.forEach((name, histogram) -> kinds.put(name, latency(histogram)));
        return new LoadSummary(
                count,
                notSentCount,
                wrongCount,
                durationMillis,
                new TreeMap<>(outcomes),
                kinds,
                latency(refusals),
                startLagMaxNanos / NANOS_PER_MILLI);
    }

    private static LoadSummary.Latency latency(Histogram histogram) {
        return new LoadSummary.Latency(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(99) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(99.9) / NANOS_PER_MILLI,
                histogram.getMaxValue() / NANOS_PER_MILLI);
    }
}
