package org.daisyscale.cli.internal.burn;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.cli.internal.error.CliException;

/**
 * Stores samples on the operator's machine between runs, one JSON object per line. Every sample is written after a line
 * break, so that it stays readable if an earlier run was interrupted while writing; truncated and empty lines are
 * skipped when read. Must not be used by several processes at once.
 */
public final class SampleFile {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private final Path path;

    /** Creates a store in the file at {@code path}, which need not exist yet. */
    public SampleFile(Path path) {
        this.path = path;
    }

    /**
     * Returns the samples not older than {@code oldestEpochMillis} (milliseconds since the epoch); empty if the file
     * doesn't exist.
     *
     * @throws CliException with {@link CliErrorCode#FILE_UNREADABLE} if the file can't be read
     */
    public List<RouterSample> read(long oldestEpochMillis) {
        if (!Files.exists(path)) {
            return List.of();
        }
        try (Stream<String> lines = Files.lines(path)) {
            return lines.map(SampleFile::sample)
                    .filter(Objects::nonNull)
                    .filter(sample -> sample.atEpochMillis() >= oldestEpochMillis)
                    .toList();
        } catch (IOException | UncheckedIOException cause) {
            throw new CliException(CliErrorCode.FILE_UNREADABLE, path + ": " + cause.getMessage(), cause);
        }
    }

    /**
     * Appends {@code samples}.
     *
     * @throws CliException with {@link CliErrorCode#FILE_UNWRITABLE} if the file can't be written
     */
    public void append(Collection<RouterSample> samples) {
        String lines = samples.stream().map(SampleFile::line).collect(Collectors.joining());
        try {
            Files.writeString(path, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException cause) {
            throw new CliException(CliErrorCode.FILE_UNWRITABLE, path + ": " + cause.getMessage(), cause);
        }
    }

    private static String line(RouterSample sample) {
        try {
            return "\n" + JSON.writeValueAsString(sample);
        } catch (JsonProcessingException cause) {
            throw new IllegalStateException("failed to serialise a sample", cause);
        }
    }

    private static RouterSample sample(String line) {
        try {
            return JSON.readValue(line, RouterSample.class);
        } catch (JsonProcessingException truncated) {
            return null;
        }
    }
}
