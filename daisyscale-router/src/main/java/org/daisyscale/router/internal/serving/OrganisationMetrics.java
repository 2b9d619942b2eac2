package org.daisyscale.router.internal.serving;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import org.daisyscale.core.quota.OrganisationCounts;

/** The metrics of the busiest organisations with an allowance. Thread-safe. */
final class OrganisationMetrics {
    private static final double MILLIS_PER_SECOND = 1e3;

    private volatile List<OrganisationCounts> published = List.of();

    OrganisationMetrics(PrometheusRegistry registry) {
        CounterWithCallback.builder()
                .name("daisyscale_serving_organisation_requests")
                .help("Requests of the busiest organisations with an allowance by result")
                .labelNames("organisation", "result")
                .callback(callback -> published.forEach(counts -> {
                    callback.call(counts.receivedCount(), counts.organisation(), "received");
                    callback.call(counts.servedCount(), counts.organisation(), "served");
                    callback.call(counts.exceededCount(), counts.organisation(), "over-allowance");
                    callback.call(counts.uncertainCount(), counts.organisation(), "uncertain");
                }))
                .register(registry);
        GaugeWithCallback.builder()
                .name("daisyscale_serving_organisation_credits")
                .help("Credits that this router holds for the busiest organisations")
                .labelNames("organisation")
                .callback(callback ->
                        published.forEach(counts -> callback.call(counts.heldCount(), counts.organisation())))
                .register(registry);
        GaugeWithCallback.builder()
                .name("daisyscale_serving_organisation_credit_age_seconds")
                .help("Age of the oldest of these credits; 0 without credits")
                .labelNames("organisation")
                .callback(callback -> published.forEach(
                        counts -> callback.call(counts.heldAgeMillis() / MILLIS_PER_SECOND, counts.organisation())))
                .register(registry);
    }

    /** Replaces the counts on the metrics page. */
    void publish(List<OrganisationCounts> counts) {
        published = counts;
    }
}
