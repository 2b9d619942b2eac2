package org.daisyscale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.daisyscale.cli.internal.error.CliErrorCode;
import org.daisyscale.codec.document.DocumentErrorCode;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.error.ErrorCode;
import org.junit.jupiter.api.Test;

class ErrorsPageTest {

    @Test
    void shouldListEveryErrorCodeOnceWithItsSummaryAndRemedy() throws IOException {
        List<String> page = Files.readAllLines(Path.of("..", "docs", "ERRORS.md"));

        List<String> rows = codes().map(
                        code -> "| %s | %s | %s |".formatted(code.code(), code.summary(), code.remedy()))
                .toList();

        assertThat(page).containsOnlyOnceElementsOf(rows);
        assertThat(codes().map(ErrorCode::code)).doesNotHaveDuplicates();
    }

    private static Stream<ErrorCode> codes() {
        return Stream.<ErrorCode[]>of(CoreErrorCode.values(), DocumentErrorCode.values(), CliErrorCode.values())
                .flatMap(Stream::of);
    }
}
