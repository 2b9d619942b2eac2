package org.daisyscale.router.internal.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;
import org.daisyscale.core.document.Configuration;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.ring.Ring;

/**
 * The metrics of one router, in a registry of its own; docs/METRICS.md lists them. The counters of good and bad
 * requests start at zero for each kind with an objective in the configuration in force. Safe for use by several
 * threads.
 *
 * <pre>{@code
 * RouterMetrics metrics = new RouterMetrics();
 * metrics.registerRingDepth(events);
 * byte[] page = metrics.exposition();
 * }</pre>
 */
public final class RouterMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PROMISE_COUNT = 10;
    private static final double[] LATENCY_BOUNDS_SECONDS = {
        0.001, 0.002, 0.005, 0.01, 0.018, 0.03, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10
    };
    private static final double[] HANDLE_BOUNDS_SECONDS = {0.00001, 0.0001, 0.001, 0.01, 0.1, 1};

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Histogram latency;
    private final Counter orders;
    private final Counter ringFull;
    private final Counter reports;
    private final Counter invariantsBroken;
    private final Counter coreFailures;
    private final Histogram handleTime;
    private final ObjectiveMetrics objectives;
    private final Gauge revision;

    /** Creates the metrics, including those of the JVM. */
    public RouterMetrics() {
        requests = counter("daisyscale_requests", "Requests replied to, by code", "service", "kind", "code");
        latency = histogram("daisyscale_request_seconds", LATENCY_BOUNDS_SECONDS, "service", "kind", "code");
        orders = counter("daisyscale_orders", "Orders to backend servers, by how they ended", "outcome");
        ringFull = counter("daisyscale_ring_full", "Items that found a ring full", "ring");
        reports = counter("daisyscale_reports", "What the core reported", "event");
        invariantsBroken = counter("daisyscale_invariants_broken", "Broken invariants, by promise", "promise");
        coreFailures = counter("daisyscale_core_failures", "Events on which the core threw");
        handleTime = histogram("daisyscale_core_handle_seconds", HANDLE_BOUNDS_SECONDS, "event");
        objectives = new ObjectiveMetrics(registry);
        revision = gauge("daisyscale_configuration_revision", "Configuration revision in force");
        JvmMetrics.builder().register(registry);
        initInvariantCounters();
    }

    private void initInvariantCounters() {
        for (int promise = 1; promise <= PROMISE_COUNT; promise++) {
            invariantsBroken.initLabelValues(Integer.toString(promise));
        }
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Gauge gauge(String name, String help, String... labels) {
        return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Histogram histogram(String name, double[] boundsSeconds, String... labels) {
        return Histogram.builder()
                .name(name)
                .help("Time in seconds")
                .classicOnly()
                .classicUpperBounds(boundsSeconds)
                .labelNames(labels)
                .register(registry);
    }

    /** Records a reply to a caller, {@code latencyNanos} nanoseconds after the request arrived. */
    public void recordReply(CallerReply reply, long latencyNanos) {
        requests.labelValues(reply.service(), reply.kind(), reply.code()).inc();
        latency.labelValues(reply.service(), reply.kind(), reply.code()).observe(latencyNanos / NANOS_PER_SECOND);
        objectives.recordReply(reply, latencyNanos);
    }

    /** Records the end of an order to a backend server. */
    public void recordOrderEnd(BackendOutcome outcome) {
        orders.labelValues(outcome.name()).inc();
    }

    /** Records that an item was rejected because the ring named {@code ring} was full. */
    public void recordRingFull(String ring) {
        ringFull.labelValues(ring).inc();
    }

    /** Records a report of the core with the name {@code event}. */
    public void recordReport(String event) {
        reports.labelValues(event).inc();
    }

    /** Records a violation of the invariant with the number {@code promise}. */
    public void recordInvariantViolation(int promise) {
        invariantsBroken.labelValues(Integer.toString(promise)).inc();
    }

    /** Records that the core threw an exception. */
    public void recordCoreFailure() {
        coreFailures.inc();
    }

    /** Records that the core handled an event of the type {@code event} in {@code durationNanos} nanoseconds. */
    public void recordDecision(String event, long durationNanos) {
        handleTime.labelValues(event).observe(durationNanos / NANOS_PER_SECOND);
    }

    /** Exports the revision of {@code configuration} and replaces the objectives by those of its document. */
    public void applyConfiguration(Configuration configuration) {
        revision.set(configuration.revision());
        objectives.replace(configuration.document().services());
    }

    /** Registers a gauge of the number of items in {@code ring}. */
    public void registerRingDepth(Ring<?> ring) {
        registerGauge(
                "daisyscale_ring_depth_" + ring.name().replace('-', '_'), "Items waiting in the ring", ring::size);
    }

    /** Registers the gauge {@code name}, which reads {@code value} on each scrape. */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns the metrics in the Prometheus text format. */
    public byte[] exposition() {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(page, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return page.toByteArray();
    }

    /** Returns the media type of {@link #exposition}. */
    public String mediaType() {
        return PrometheusTextFormatWriter.CONTENT_TYPE;
    }
}
