package org.daisyscale.router.internal.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.daisyscale.core.Action;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.HeaderField;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RejectionsTest {

    @ParameterizedTest
    @CsvSource({
        "UNKNOWN_JOB, 404, not-run",
        "UNKNOWN_KIND, 404, not-run",
        "MISSING_KEY, 400, not-run",
        "MALFORMED_ID, 400, not-run",
        "BODY_TOO_LARGE, 413, not-run",
        "WRONG_METHOD, 405, not-run",
        "NO_ROUTE, 404, not-run",
        "ROUTE_UNCERTAIN, 503, not-run",
        "OVERLOADED, 503, not-run",
        "CALLER_LIMIT, 429, not-run",
        "DUPLICATE_IN_PROGRESS, 409, unknown",
        "ALREADY_RAN, 409, unknown",
        "OUTCOME_UNKNOWN, 504, unknown"
    })
    void shouldReplyWithTheStatusAndWhetherTheRequestRan(CoreErrorCode code, int status, String outcome) {
        CallerReply reply = Rejections.reply(new Action.RefuseRequest("request-1", code, "why", "service", "kind"));

        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.headers()).contains(new HeaderField("Daisyscale-Outcome", outcome));
        assertThat(new String(reply.body(), StandardCharsets.UTF_8)).contains(code.code(), "why");
    }

    @Test
    void shouldMapEveryCodeToAnErrorStatus() {
        assertThat(Arrays.stream(CoreErrorCode.values()))
                .allSatisfy(
                        code -> assertThat(Rejections.reply(code, "").status()).isBetween(400, 599));
    }
}
