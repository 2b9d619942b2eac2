package org.daisyscale.router.internal.serving;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyAction.EvacuationChanged.State;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.Ring;

/** The metrics of a router that assigns requests to backend servers itself. Thread-safe. */
final class ServingMetrics {
    private static final double[] LATENCY_BOUNDS_SECONDS = {0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5};
    private static final double[] EVACUATION_BOUNDS_SECONDS = {0.1, 0.2, 0.5, 1, 2, 3, 4, 5, 8, 12, 20};
    private static final double MILLIS_PER_SECOND = 1e3;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Histogram latency;
    private final Counter attempts;
    private final Counter ringFull;
    private final Counter keyCalls;
    private final Counter extraResponses;
    private final Counter controllerUpdates;
    private final Counter storeReads;
    private final OrganisationMetrics organisations = new OrganisationMetrics(registry);
    private final StartTimes startTimes = new StartTimes();
    private final Counter storeCalls;
    private final Counter unreadResponses;
    private final Histogram evacuation;
    private final Gauge evacuatedRanges;
    private final AtomicLong configurationVersion = new AtomicLong();
    private final Map<String, LongSupplier> viewAgeByPrefix = new ConcurrentHashMap<>();

    ServingMetrics() {
        requests = counter("daisyscale_serving_requests", "Final answers by code", "code");
        attempts = counter("daisyscale_serving_attempts", "Attempts at backend servers by outcome", "outcome");
        ringFull = counter("daisyscale_serving_ring_full", "Items that found a ring full", "ring");
        keyCalls = counter("daisyscale_serving_key_calls", "Grants and releases by end", "end");
        extraResponses = counter(
                "daisyscale_serving_extra_responses", "Responses that no call was waiting for, by kind", "kind");
        controllerUpdates = counter(
                "daisyscale_serving_controller_updates",
                "Updates of the controller by what became of them at this router",
                "prefix",
                "result");
        storeReads =
                counter("daisyscale_serving_store_reads", "Reads of the store that were started", "prefix", "kind");
        storeCalls = counter("daisyscale_serving_store_calls", "Calls of the store that were started", "kind");
        unreadResponses = counter(
                "daisyscale_serving_unread_rejections",
                "Requests rejected because their caller does not read the responses on its connection");
        registerGauge(
                "daisyscale_serving_configuration_version",
                "Version of the configuration in force at this router; 0 before there is one",
                configurationVersion::get);
        latency = Histogram.builder()
                .name("daisyscale_serving_seconds")
                .help("Time from a whole request to its final answer")
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                .labelNames("code")
                .register(registry);
        evacuation = Histogram.builder()
                .name("daisyscale_serving_evacuation_seconds")
                .help("Time from the arrival of an evacuation at the controller until no key has an owner there")
                .classicOnly()
                .classicUpperBounds(EVACUATION_BOUNDS_SECONDS)
                .labelNames("service")
                .register(registry);
        evacuatedRanges = Gauge.builder()
                .name("daisyscale_serving_evacuated_ranges")
                .help("Key ranges whose owner is in an evacuated data centre, at the controller")
                .labelNames("service", "data_centre")
                .register(registry);
        GaugeWithCallback.builder()
                .name("daisyscale_serving_view_age_seconds")
                .help("Time since this router last knew that its view of the store misses nothing")
                .labelNames("prefix")
                .callback(callback -> viewAgeByPrefix.forEach(
                        (prefix, ageMillis) -> callback.call(ageMillis.getAsLong() / MILLIS_PER_SECOND, prefix)))
                .register(registry);
        registerStartTimes();
    }

    private void registerStartTimes() {
        GaugeWithCallback.builder()
                .name("daisyscale_serving_start_seconds")
                .help("Time from the start of the process until a step of the router's start was done")
                .labelNames("step")
                .callback(callback ->
                        startTimes.forEach((step, millis) -> callback.call(millis / MILLIS_PER_SECOND, step.label())))
                .register(registry);
    }

    /** Returns the times of the steps of this router's start. */
    StartTimes startTimes() {
        return startTimes;
    }

    /** Returns the metrics of the organisations' allowances. */
    OrganisationMetrics organisations() {
        return organisations;
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    void requestEnded(String code, long durationMillis) {
        requests.labelValues(code).inc();
        latency.labelValues(code).observe(durationMillis / MILLIS_PER_SECOND);
    }

    void attemptEnded(String outcome) {
        attempts.labelValues(outcome).inc();
    }

    void ringFull(String ring) {
        ringFull.labelValues(ring).inc();
    }

    void keyCallEnded(String end) {
        keyCalls.labelValues(end).inc();
    }

    /** Records a response, or other bytes, that no call was waiting for. */
    void extraResponse(ExtraResponse.Kind kind) {
        extraResponses.labelValues(kind.label()).inc();
    }

    /** Records what became of an update that the controller sent for {@code prefix}. */
    void controllerUpdate(String prefix, UpdateResult result) {
        controllerUpdates.labelValues(prefix, result.label()).inc();
    }

    /** Records that a read of the items under {@code prefix} was started; {@code kind} is list or watch. */
    void storeRead(String prefix, String kind) {
        storeReads.labelValues(prefix, kind).inc();
        storeCall(kind);
    }

    /** Records that a call of the store was started, whatever becomes of it. */
    void storeCall(String kind) {
        storeCalls.labelValues(kind).inc();
    }

    /** Records how far the keys of a service have left an evacuated data centre. */
    void evacuationChanged(KeyAction.EvacuationChanged change) {
        int ranges = change.state() == State.ABANDONED ? 0 : change.ranges();
        evacuatedRanges.labelValues(change.service(), change.dataCentre()).set(ranges);
        if (change.state() == State.COMPLETED) {
            evacuation.labelValues(change.service()).observe(change.elapsedMillis() / MILLIS_PER_SECOND);
        }
    }

    /** Records that a request was rejected because its caller does not read the responses on its connection. */
    void callerFull() {
        unreadResponses.inc();
    }

    /** Registers the bytes that {@code budget} holds for callers. */
    void registerCallerBytes(ByteBudget budget) {
        registerGauge(
                "daisyscale_serving_caller_bytes",
                "Bytes of request bodies, and of responses until their callers read them",
                budget::usedBytes);
        registerGauge(
                "daisyscale_serving_caller_bytes_limit",
                "Bytes for callers above which requests are rejected",
                budget::limitBytes);
    }

    /** Records that the configuration {@code version} is in force. */
    void configurationInForce(long version) {
        configurationVersion.set(version);
    }

    /** Registers the number of requests without a final answer. */
    void registerOpenRequests(DoubleSupplier count) {
        registerGauge("daisyscale_serving_open_requests", "Requests without a final answer", count);
    }

    /** Registers the era of the store, which rises each time the store is restored from an older copy. */
    void registerStoreEra(LongSupplier era) {
        registerGauge("daisyscale_serving_store_era", "Era of the store; rises with each restore", era::getAsLong);
    }

    /** Registers the number of events that wait in {@code ring}. */
    void registerRingDepth(Ring<?> ring) {
        registerGauge("daisyscale_serving_ring_depth_" + ring.name(), "Events waiting", ring::size);
    }

    /** Registers the age of the view of {@code prefix}, in milliseconds. */
    void registerViewAge(String prefix, LongSupplier ageMillis) {
        viewAgeByPrefix.put(prefix, ageMillis);
    }

    private void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    byte[] exposition() {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(page, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return page.toByteArray();
    }
}
