package org.daisyscale.cli.internal.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class BurnArithmeticTest {
    private static final BurnWindow MINUTE = BurnWindow.of("1m", Duration.ofMinutes(1));

    @Test
    void shouldSumTheIncreaseOfEachRouter() {
        List<RouterSample> samples = List.of(
                sample("a", 0, 1_000, 0), sample("b", 0, 500, 5),
                sample("a", 60_000, 1_990, 10), sample("b", 60_000, 1_500, 5));

        BurnReport report = BurnArithmetic.report(samples, List.of(MINUTE), CountFrom.FIRST_SAMPLE);

        WindowBurn burn = report.kinds().get(0).windows().get(0);
        assertThat(burn.goodCount()).isEqualTo(1_990);
        assertThat(burn.badCount()).isEqualTo(10);
        assertThat(burn.burnRate()).isCloseTo(5.0, within(1e-9));
        assertThat(report.kinds().get(0).budgetLeftPercent()).isCloseTo(-400, within(1e-9));
    }

    @Test
    void shouldCountFromZeroWhenARouterRestarted() {
        List<RouterSample> samples =
                List.of(sample("a", 0, 1_000, 0), sample("a", 30_000, 100, 0), sample("a", 60_000, 300, 0));

        BurnReport report = BurnArithmetic.report(samples, List.of(MINUTE), CountFrom.FIRST_SAMPLE);

        assertThat(report.kinds().get(0).goodCount()).isEqualTo(300);
    }

    @Test
    void shouldIncludeWhatRoutersCountedBeforeTheirFirstSampleWhenAsked() {
        List<RouterSample> samples = List.of(sample("a", 0, 999, 1));

        BurnReport report = BurnArithmetic.report(samples, BurnWindow.standard(), CountFrom.PROCESS_START);

        KindBurn kind = report.kinds().get(0);
        assertThat(kind.goodCount()).isEqualTo(999);
        assertThat(kind.budgetLeftPercent()).isCloseTo(0, within(1e-9));
        assertThat(kind.windows()).noneMatch(WindowBurn::isKnown);
        assertThat(report.notes()).hasSize(4).first().asString().startsWith("the window 5m can't be known");
    }

    @Test
    void shouldNoteRoutersWhoseSamplesDoNotCoverAWindow() {
        List<RouterSample> samples =
                List.of(sample("a", 0, 10, 0), sample("a", 60_000, 20, 0), sample("b", 50_000, 5, 0));

        BurnReport report = BurnArithmetic.report(samples, List.of(MINUTE), CountFrom.FIRST_SAMPLE);

        assertThat(report.kinds().get(0).windows().get(0).goodCount()).isEqualTo(10);
        assertThat(report.notes()).containsExactly("the window 1m lacks the first part of b");
    }

    @Test
    void shouldReportAWindowAsUnknownForAKindThatOnlyNewRoutersReport() {
        RouterSample other = new RouterSample(0, "a", List.of(), Map.of());
        RouterSample newest = new RouterSample(60_000, "a", List.of(), Map.of());
        List<RouterSample> samples = List.of(other, newest, sample("b", 60_000, 5, 0));

        BurnReport report = BurnArithmetic.report(samples, List.of(MINUTE), CountFrom.FIRST_SAMPLE);

        assertThat(report.kinds().get(0).windows()).noneMatch(WindowBurn::isKnown);
    }

    @Test
    void shouldReportAnInfiniteBurnRateWhenTheObjectiveAllowsNoBadRequests() {
        assertThat(BurnArithmetic.burnRate(99, 1, 1)).isInfinite();
        assertThat(BurnArithmetic.burnRate(99, 0, 1)).isZero();
    }

    @Test
    void shouldReadLabelsWithEscapesAndSkipOtherLines() {
        String text = """
                # HELP daisyscale_requests_good_total good
                daisyscale_requests_good_total{service="a\\"}b",kind="k"} 5.0 1733300000000
                daisyscale_requests_bad_total{service="a\\"}b",kind="k"} NaNsense
                daisyscale_objective_good_ratio{service="a\\"}b",kind="k",} 0.99
                daisyscale_invariants_broken_total{promise="p"} 2
                jvm_threads 3
                daisyscale_broken{
                """;

        RouterSample sample = MetricsReader.read(7, "r", text);

        assertThat(sample.kinds()).containsExactly(new KindCount("a\"}b", "k", 5, 0, 0.99, 0));
        assertThat(sample.invariantsBroken()).isEqualTo(Map.of("p", 2.0));
    }

    @Test
    void shouldRenderASelfContainedPage() {
        List<RouterSample> samples = List.of(sample("a", 0, 1_000, 0), sample("a", 300_000, 1_990, 10));
        BurnReport report = BurnArithmetic.report(samples, BurnWindow.standard(), CountFrom.PROCESS_START);

        String page = BurnPage.render(report, BurnTimeline.of(samples), List.of("<script>"));

        assertThat(page)
                .contains("slot-lookup/lookup", "<svg", "the window 3d can't be known")
                .contains("&lt;script&gt;")
                .doesNotContain("<script", "src=", "@import");
    }

    private static RouterSample sample(String router, long atEpochMillis, double good, double bad) {
        KindCount kind = new KindCount("slot-lookup", "lookup", good, bad, 0.999, 0.1);
        return new RouterSample(atEpochMillis, router, List.of(kind), Map.of());
    }
}
