package org.daisyscale.testkit.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.stream.StreamSupport;
import org.tinylog.Logger;

/** Reads what a router's operator address answers. Stateless. */
final class RouterAnswers {

    private RouterAnswers() {}

    /** Whether {@code status} names an owner for each slice and dispatch range. */
    static boolean isOwned(JsonNode status) {
        boolean hasRanges = !status.path("ranges").isEmpty();
        return hasRanges && isOwned(status, "ranges") && isOwned(status, "slices");
    }

    private static boolean isOwned(JsonNode status, String parts) {
        return StreamSupport.stream(status.path(parts).spliterator(), false)
                .allMatch(part -> part.path("predecessor").asText().isEmpty());
    }

    /** Whether a proposal was accepted. */
    static boolean isAccepted(HttpResponse<byte[]> answer) {
        if (answer.statusCode() != 200) {
            Logger.warn("configuration-refused status={} answer={}", answer.statusCode(), text(answer));
        }
        return answer.statusCode() == 200;
    }

    /** The body as text. */
    static String text(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }
}
