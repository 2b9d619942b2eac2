package org.daisyscale.router.internal.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.runtime.PreciseTimestamp;

class JsonLinesWriterTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final JsonLinesWriter writer = new JsonLinesWriter(new PrintStream(output, true, StandardCharsets.UTF_8));

    @Test
    void shouldWriteEventAndRequestIdAsFieldsOfOneLine() {
        writer.write(entry("order-refused requestId=r-17 reason=\"two\nlines\"", null));

        assertThat(lines()).hasSize(1);
        assertThat(lines().get(0))
                .contains("\"event\":\"order-refused\"", "\"requestId\":\"r-17\"", "\"level\":\"WARN\"");
    }

    @Test
    void shouldWriteAnEntryWithAnExceptionAsOneLine() {
        writer.write(entry("core-failed", new IllegalStateException("why")));

        assertThat(lines()).hasSize(1);
        assertThat(lines().get(0)).contains("IllegalStateException: why");
    }

    @Test
    void shouldSuppressLinesAboveTheRateLimitAndCountThem() {
        EventLog.LineRateLimiter limiter = new EventLog.LineRateLimiter(2);

        List<Long> acquired = List.of(
                limiter.acquire(0),
                limiter.acquire(1),
                limiter.acquire(2),
                limiter.acquire(3),
                limiter.acquire(1_000_000_000));

        assertThat(acquired).containsExactly(0L, 0L, -1L, -1L, 2L);
    }

    private static LogEntry entry(String message, Throwable error) {
        return new LogEntry(new PreciseTimestamp(), null, null, null, null, null, -1, null, Level.WARN, message, error);
    }

    private List<String> lines() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }
}
