package org.daisyscale.router.internal.trace;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;

/**
 * The duty that writes the core's events to a file. When the ring is full, an entry is dropped and the gap is logged,
 * because a trace must not slow the core down. Safe for use by several threads.
 *
 * <pre>{@code
 * try (TraceRecorder recorder = TraceRecorder.open("trace.jsonl")) {
 *     recorder.record(entry);
 * }
 * }</pre>
 */
public final class TraceRecorder implements AutoCloseable {
    private static final int RING_CAPACITY = 65_536;
    private static final Duration FLUSH_INTERVAL = Duration.ofMillis(200);

    private final Ring<TraceEntry> ring = new ArrayRing<>("trace", RING_CAPACITY);
    private final BufferedWriter writer;
    private final DutyThread thread;

    private TraceRecorder(BufferedWriter writer) {
        this.writer = writer;
        this.thread = DutyThread.start("trace", this::runStep);
    }

    /**
     * Opens {@code file}, replacing its content, and starts the duty.
     *
     * @throws ShellException if the file can't be opened for writing
     */
    public static TraceRecorder open(String file) {
        try {
            return new TraceRecorder(Files.newBufferedWriter(Path.of(file)));
        } catch (IOException | InvalidPathException e) {
            throw new ShellException(ShellErrorCode.CANNOT_WRITE_TRACE, "--trace-file is '" + file + "'", e);
        }
    }

    /** Queues an entry for writing, or drops it if the ring is full; never blocks. */
    public void record(TraceEntry entry) {
        if (!ring.offer(entry)) {
            EventLog.warn("trace-gap", "event=" + entry.event().getClass().getSimpleName());
        }
    }

    private void runStep() throws InterruptedException {
        Optional<TraceEntry> entry = ring.poll(FLUSH_INTERVAL);
        try {
            if (entry.isPresent()) {
                write(entry.get());
            } else {
                writer.flush();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(TraceEntry entry) throws IOException {
        writer.write(TraceCodec.write(entry));
        writer.newLine();
    }

    @Override
    public void close() {
        thread.close();
        try (writer) {
            Optional<TraceEntry> entry = ring.poll(Duration.ZERO);
            while (entry.isPresent()) {
                write(entry.get());
                entry = ring.poll(Duration.ZERO);
            }
        } catch (IOException e) {
            throw new ShellException(
                    ShellErrorCode.CANNOT_WRITE_TRACE, "the last entries of the trace may be missing", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
