package org.daisyscale.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.Ownership;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.router.internal.assembly.RunningRouter;
import org.daisyscale.router.internal.assembly.ScriptedCore;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.request.CallerReply;
import org.junit.jupiter.api.Test;

class MetricsPageTest {
    private static final String OWN = "# TYPE daisyscale_";
    /** Rows of the other request path, which ServingMetricsTest compares. */
    private static final String OTHER_PATH = "| `daisyscale_serving_";

    @Test
    void shouldListEveryMetricOfARouterWithItsType() throws Exception {
        Set<String> exported = exportedMetrics();

        assertThat(exported).hasSizeGreaterThan(15);
        assertThat(listedMetrics()).isEqualTo(exported);
    }

    private static Set<String> exportedMetrics() throws Exception {
        Set<String> exported = new TreeSet<>(ownMetrics(usedMetrics().exposition()));
        try (RunningRouter router = new RunningRouter(new ScriptedCore((event, now) -> List.of()))) {
            exported.addAll(
                    ownMetrics(router.send(router.operatorRequest("/metrics")).body()));
        }
        return exported;
    }

    /** Returns metrics with each labelled metric used once: a labelled metric is exported only after its first use. */
    private static RouterMetrics usedMetrics() {
        RouterMetrics metrics = new RouterMetrics();
        metrics.applyConfiguration(configuration());
        metrics.recordReply(new CallerReply(200, List.of(), new byte[0], "slots", "lookup", CallerReply.ANSWERED), 1);
        metrics.recordOrderEnd(BackendOutcome.ANSWERED);
        metrics.recordRingFull("events");
        metrics.recordReport("range-taken-over");
        metrics.recordDecision("Tick", 1);
        return metrics;
    }

    private static Configuration configuration() {
        RequestKind kind = new RequestKind(
                "lookup",
                "GET",
                "/slots/{key}",
                KeySource.PATH,
                "key",
                true,
                500,
                3,
                10,
                0,
                0,
                0,
                new Objective(99, 100));
        ServicePolicy service =
                new ServicePolicy("slots", List.of(), Ownership.EXCLUSIVE, 128, 1, true, 20, List.of(kind));
        EnvironmentDocument document = new EnvironmentDocument(1, "", List.of(service));
        return new Configuration(1, "write-1", "text", document, Set.of(), Set.of(), List.of());
    }

    private static Set<String> ownMetrics(byte[] exposition) {
        return new String(exposition, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(OWN))
                .map(line -> line.substring("# TYPE ".length()).replace(' ', '|'))
                .collect(Collectors.toSet());
    }

    private static Set<String> listedMetrics() throws IOException {
        return Files.readAllLines(Path.of("..", "docs", "METRICS.md")).stream()
                .filter(line -> line.startsWith("| `daisyscale_") && !line.startsWith(OTHER_PATH))
                .map(line -> line.split("\\|"))
                .map(cells -> cells[1].strip().replace("`", "") + "|" + cells[2].strip())
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
