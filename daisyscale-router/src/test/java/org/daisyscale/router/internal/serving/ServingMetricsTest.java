package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyAction.EvacuationChanged.State;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.quota.OrganisationCounts;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.serving.StoreException;
import org.junit.jupiter.api.Test;

class ServingMetricsTest {
    private final ServingMetrics metrics = new ServingMetrics();

    private List<String> samples() {
        return new String(metrics.exposition(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.startsWith("#"))
                .toList();
    }

    @Test
    void shouldGiveTheVersionOfTheConfigurationInForce() {
        assertThat(samples()).contains("daisyscale_serving_configuration_version 0.0");

        metrics.configurationInForce(403);

        assertThat(samples()).contains("daisyscale_serving_configuration_version 403.0");
    }

    @Test
    void shouldCountUpdatesOfTheControllerByPrefixAndResult() {
        metrics.controllerUpdate("op/", UpdateResult.APPLIED);
        metrics.controllerUpdate("op/", UpdateResult.DOES_NOT_APPLY);
        metrics.controllerUpdate("op/", UpdateResult.DOES_NOT_APPLY);

        assertThat(samples())
                .contains(
                        "daisyscale_serving_controller_updates_total{prefix=\"op/\",result=\"applied\"} 1.0",
                        "daisyscale_serving_controller_updates_total{prefix=\"op/\",result=\"does-not-apply\"} 2.0");
    }

    @Test
    void shouldCountReadsOfTheStoreByPrefixAndKindWhetherTheyAreAnsweredOrNot() {
        ScriptedStore scripted = new ScriptedStore();
        CoordinationStore store = new CountedStore(scripted, metrics);
        scripted.enqueueListing(new CoordinationStore.Listing(List.of(), 4));
        scripted.enqueueWatchResult(Optional.empty());

        store.list("op/");
        store.watch("op/", 4, Duration.ofMillis(1), () -> false);
        assertThatThrownBy(() -> store.list("op/")).isInstanceOf(StoreException.class);

        assertThat(samples())
                .contains(
                        "daisyscale_serving_store_reads_total{kind=\"list\",prefix=\"op/\"} 2.0",
                        "daisyscale_serving_store_reads_total{kind=\"watch\",prefix=\"op/\"} 1.0");
    }

    @Test
    void shouldGiveWhatBecameOfTheRequestsOfAnOrganisation() {
        metrics.organisations().publish(List.of(new OrganisationCounts("bakers", 9, 6, 2, 1, 4, 250)));

        assertThat(samples())
                .contains(
                        "daisyscale_serving_organisation_requests_total"
                                + "{organisation=\"bakers\",result=\"over-allowance\"} 2.0",
                        "daisyscale_serving_organisation_credits{organisation=\"bakers\"} 4.0",
                        "daisyscale_serving_organisation_credit_age_seconds{organisation=\"bakers\"} 0.25");
    }

    private static KeyAction.EvacuationChanged evacuation(State state, int ranges, long elapsedMillis) {
        return new KeyAction.EvacuationChanged("stock", "dc-2", state, 5, ranges, elapsedMillis);
    }

    @Test
    void shouldGiveTheRangesInAnEvacuatedDataCentreAndTheTimeUntilItHasNone() {
        metrics.evacuationChanged(evacuation(State.STARTED, 5, 10));
        metrics.evacuationChanged(evacuation(State.UNDER_WAY, 2, 400));

        assertThat(samples())
                .contains("daisyscale_serving_evacuated_ranges{data_centre=\"dc-2\",service=\"stock\"} 2.0");

        metrics.evacuationChanged(evacuation(State.COMPLETED, 0, 900));

        assertThat(samples())
                .contains(
                        "daisyscale_serving_evacuated_ranges{data_centre=\"dc-2\",service=\"stock\"} 0.0",
                        "daisyscale_serving_evacuation_seconds_count{service=\"stock\"} 1",
                        "daisyscale_serving_evacuation_seconds_sum{service=\"stock\"} 0.9");
    }

    @Test
    void shouldCountNoRangesOfAnEvacuationThatThisRouterNoLongerFollows() {
        metrics.evacuationChanged(evacuation(State.STARTED, 5, 10));

        metrics.evacuationChanged(evacuation(State.ABANDONED, 5, 90));

        assertThat(samples())
                .contains("daisyscale_serving_evacuated_ranges{data_centre=\"dc-2\",service=\"stock\"} 0.0")
                .noneMatch(sample -> sample.startsWith("daisyscale_serving_evacuation_seconds_count"));
    }

    @Test
    void shouldGiveTheTimeUntilTheFirstOccurrenceOfEachStepOfTheStart() {
        metrics.startTimes().mark(StartStep.EVACUATIONS_KNOWN);
        List<String> first = startSamples();

        metrics.startTimes().mark(StartStep.EVACUATIONS_KNOWN);

        assertThat(first)
                .singleElement()
                .asString()
                .startsWith("daisyscale_serving_start_seconds{step=\"evacuations-known\"} ");
        assertThat(startSamples()).isEqualTo(first);
    }

    private List<String> startSamples() {
        return samples().stream()
                .filter(sample -> sample.startsWith("daisyscale_serving_start_seconds"))
                .toList();
    }

    @Test
    void shouldListEveryMetricWithItsType() throws IOException {
        useEachMetric();

        Set<String> exported = new String(metrics.exposition(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("# TYPE "))
                .map(line -> line.substring("# TYPE ".length()).replace(' ', '|'))
                .collect(Collectors.toCollection(TreeSet::new));

        assertThat(listedMetrics()).isEqualTo(exported);
    }

    /** Uses each metric once: a metric with labels is exported only after its first use. */
    private void useEachMetric() {
        metrics.requestEnded("answered", 7);
        metrics.attemptEnded("ANSWERED");
        metrics.ringFull("decisions");
        metrics.keyCallEnded("granted");
        metrics.extraResponse(ExtraResponse.Kind.COPY);
        metrics.controllerUpdate("op/", UpdateResult.APPLIED);
        metrics.storeRead("op/", "list");
        metrics.callerFull();
        metrics.evacuationChanged(evacuation(State.COMPLETED, 0, 900));
        metrics.registerCallerBytes(new ByteBudget(1));
        metrics.registerStoreEra(() -> 1);
        metrics.registerViewAge("op/", () -> 40);
        metrics.startTimes().mark(StartStep.READY);
        metrics.registerOpenRequests(() -> 1);
        metrics.registerRingDepth(new ArrayRing<>("decisions", 4));
        metrics.registerRingDepth(new ArrayRing<>("keys", 4));
        metrics.registerRingDepth(new ArrayRing<>("allowances", 4));
        metrics.organisations().publish(List.of(new OrganisationCounts("bakers", 9, 6, 2, 1, 4, 250)));
    }

    private static Set<String> listedMetrics() throws IOException {
        return Files.readAllLines(Path.of("..", "docs", "METRICS.md")).stream()
                .filter(line -> line.startsWith("| `daisyscale_serving_"))
                .map(line -> line.split("\\|"))
                .map(cells -> cells[1].strip().replace("`", "") + "|" + cells[2].strip())
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
