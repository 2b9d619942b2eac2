package org.daisyscale.cli.internal.burn;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SampleFileTest {

    @TempDir
    private Path folder;

    @Test
    void shouldKeepSamplesBetweenRunsAndSkipATruncatedLine() throws IOException {
        Path path = folder.resolve("samples.jsonl");
        RouterSample first = new RouterSample(1, "r", List.of(new KindCount("s", "k", 1, 2, 0.9, 0.1)), Map.of());
        RouterSample second = new RouterSample(2, "r", List.of(), Map.of("p", 1.0));

        new SampleFile(path).append(List.of(first));
        Files.writeString(path, "\n{\"atEpochMillis\":1,\"rou", StandardOpenOption.APPEND);
        new SampleFile(path).append(List.of(second));

        assertThat(new SampleFile(path).read(0)).containsExactly(first, second);
        assertThat(new SampleFile(path).read(2)).containsExactly(second);
    }
}
