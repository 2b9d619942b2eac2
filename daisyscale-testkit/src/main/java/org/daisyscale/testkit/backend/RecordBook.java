package org.daisyscale.testkit.backend;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;
import org.daisyscale.testkit.http.Json;

/**
 * A server's own records of its runs: the newest in memory, and all of them appended to a file when there is one, a
 * line at a run's start and one at its end. A line is with the operating system before the run's answer goes out, so
 * that a killed process loses none. Not safe for use by several threads.
 */
final class RecordBook implements AutoCloseable {
    private static final int RECORD_LIMIT = 200_000;

    private final Map<Long, RunRecord> newest = new LinkedHashMap<>();
    private final Optional<OutputStream> file;

    private RecordBook(Optional<OutputStream> file) {
        this.file = file;
    }

    /** Records that also go to {@code path}, if there is one. */
    static RecordBook open(Optional<Path> path) {
        return new RecordBook(path.map(RecordBook::append));
    }

    private static OutputStream append(Path path) {
        try {
            return Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.RECORD_FILE_FAILED, path.toString(), e);
        }
    }

    /** The last record of each run in the file {@code path}, or none when there is no such file. */
    static List<RunRecord> read(Path path) {
        if (!Files.exists(path)) {
            return List.of();
        }
        Map<String, RunRecord> last = new LinkedHashMap<>();
        try (var lines = Files.lines(path)) {
            lines.map(line -> Json.read(line.getBytes(StandardCharsets.UTF_8), RunRecord.class))
                    .forEach(run -> last.put(run.incarnation() + run.runNumber(), run));
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.RECORD_FILE_FAILED, path.toString(), e);
        }
        return List.copyOf(last.values());
    }

    /** Keeps {@code run} as the last word on the run {@code ticket}. */
    void keep(long ticket, RunRecord run) {
        newest.put(ticket, run);
        if (newest.size() > RECORD_LIMIT) {
            newest.remove(newest.keySet().iterator().next());
        }
        file.ifPresent(stream -> write(stream, run));
    }

    private static void write(OutputStream stream, RunRecord run) {
        byte[] json = Json.bytes(run);
        byte[] line = java.util.Arrays.copyOf(json, json.length + 1);
        line[json.length] = '\n';
        try {
            stream.write(line);
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.RECORD_FILE_FAILED, "write failed", e);
        }
    }

    List<RunRecord> all() {
        return new ArrayList<>(newest.values());
    }

    @Override
    public void close() {
        file.ifPresent(RecordBook::closeFile);
    }

    private static void closeFile(OutputStream stream) {
        try {
            stream.close();
        } catch (IOException e) {
            throw new TestkitException(TestkitErrorCode.RECORD_FILE_FAILED, "close failed", e);
        }
    }
}
