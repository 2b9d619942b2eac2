package org.daisyscale.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.daisyscale.codec.CodecErrorCode;
import org.daisyscale.core.error.ErrorCode;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.http.HttpCallException;
import org.daisyscale.router.internal.peer.PeerErrorCode;
import org.daisyscale.router.internal.platform.PlatformErrorCode;
import org.daisyscale.router.internal.vmlist.VmListErrorCode;
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
        return Stream.<ErrorCode[]>of(
                        ShellErrorCode.values(),
                        CodecErrorCode.values(),
                        PeerErrorCode.values(),
                        HttpCallException.Code.values(),
                        PlatformErrorCode.values(),
                        VmListErrorCode.values())
                .flatMap(Stream::of);
    }
}
