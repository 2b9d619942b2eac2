package org.daisyscale.cli.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PromoteCommandTest {
    private static final String NO_INVARIANT = "daisyscale_invariants_broken_total{promise=\"one-owner\"} 0\n";

    private FakeRouter trial;
    private FakeRouter production;
    private String text;

    @BeforeEach
    void startRouters() throws Exception {
        trial = new FakeRouter();
        production = new FakeRouter();
        text = Files.readString(Path.of("..", "examples", "kringlevogn.yaml"));
        trial.storeDocument(text);
        trial.setMetrics(metrics(1000, 0) + NO_INVARIANT);
    }

    @AfterEach
    void stopRouters() throws Exception {
        trial.close();
        production.close();
    }

    @Test
    void shouldPromoteTheDocumentByteForByteWhenTrialMetItsObjectives() {
        CommandRun run = promoteAfter(metrics(2000, 1) + NO_INVARIANT);

        assertThat(run.exitCode()).isZero();
        assertThat(production.documentText()).isEqualTo(text);
        assertThat(production.history().get(0).summary()).endsWith("promoted from trial's revision 1");
    }

    @Test
    void shouldRefuseWhenTrialMissedAnObjective() {
        CommandRun run = promoteAfter(metrics(1990, 10) + NO_INVARIANT);

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("DSC-6302", "trial missed the objective of stock-lookup/lookup: 99.000% good");
        assertThat(production.history()).isEmpty();
    }

    @Test
    void shouldRefuseWhenTrialBrokeAnInvariant() {
        CommandRun run = promoteAfter(metrics(2000, 0) + NO_INVARIANT.replace("} 0", "} 1"));

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("trial broke the invariant 'one-owner' 1 times");
    }

    @Test
    void shouldRefuseWhenTrialServedNoRequests() {
        CommandRun run = promoteAfter(metrics(1000, 0) + NO_INVARIANT);

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("trial ran no request in the last 60s");
    }

    @Test
    void shouldRefuseWhenSamplesDoNotCoverTheWindow() {
        CommandRun run = CommandRun.of("", arguments("--yes"));

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("samples of trial don't reach back over 600s");
    }

    @Test
    void shouldRecordTheReasonOfAForcedPromotionInTheHistory() {
        CommandRun run = promoteAfter(metrics(1990, 10) + NO_INVARIANT, "--force", "--reason", "market opens");

        assertThat(run.exitCode()).isZero();
        assertThat(production.history().get(0).reason())
                .startsWith("market opens (forced although trial missed the objective");
    }

    @Test
    void shouldNotForceWithoutAReason() {
        CommandRun run = promoteAfter(metrics(2000, 0) + NO_INVARIANT, "--force");

        assertThat(run.exitCode()).isEqualTo(2);
        assertThat(production.history()).isEmpty();
    }

    @Test
    void shouldRefuseADocumentThatNamesItsEnvironment() throws IOException {
        trial.storeDocument(text + "environment: trial\n");

        CommandRun run = promoteAfter(metrics(2000, 0), "--force", "--reason", "why");

        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(run.err()).contains("the document names the environment 'trial'");
    }

    private CommandRun promoteAfter(String laterMetrics, String... options) {
        List<String> all = new ArrayList<>(List.of("--yes", "--window", "60s", "--observe", "60s"));
        all.addAll(List.of(options));
        return new CommandRun()
                .whileWaiting(() -> trial.setMetrics(laterMetrics))
                .run("", arguments(all.toArray(String[]::new)));
    }

    private String[] arguments(String... options) {
        List<String> all = new ArrayList<>(List.of("document", "promote"));
        all.addAll(List.of("--trial-router", trial.address(), "--router", production.address()));
        all.addAll(List.of(options));
        return all.toArray(String[]::new);
    }

    private static String metrics(int good, int bad) {
        String labels = "{service=\"stock-lookup\",kind=\"lookup\"}";
        return """
                # TYPE daisyscale_requests_good counter
                daisyscale_requests_good_total%1$s %2$d.0
                daisyscale_requests_bad_total%1$s %3$d.0
                daisyscale_objective_good_ratio%1$s 0.999
                daisyscale_objective_latency_seconds%1$s 0.06
                """.formatted(labels, good, bad);
    }
}
