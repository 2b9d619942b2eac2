package org.daisyscale.router.internal.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.router.internal.request.CallerReply;

/**
 * Exports the objectives in force and counts the requests that meet or miss them. Invariant: a kind with an objective
 * in force has both counters, starting at zero. Safe for use by several threads.
 */
final class ObjectiveMetrics {
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double PERCENT = 100;
    private static final int FIRST_CLIENT_ERROR_STATUS = 400;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final Counter good;
    private final Counter bad;
    private final Gauge goodRatio;
    private final Gauge latency;
    private volatile Map<KindName, Objective> objectives = Map.of();

    ObjectiveMetrics(PrometheusRegistry registry) {
        good = counter(registry, "daisyscale_requests_good", "Requests that met their kind's objective");
        bad = counter(registry, "daisyscale_requests_bad", "Requests that missed their kind's objective");
        goodRatio = gauge(registry, "daisyscale_objective_good_ratio", "Share of requests that must be good");
        latency = gauge(registry, "daisyscale_objective_latency_seconds", "A slower answer is not good");
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help) {
        return Counter.builder()
                .name(name)
                .help(help)
                .labelNames("service", "kind")
                .register(registry);
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder()
                .name(name)
                .help(help)
                .labelNames("service", "kind")
                .register(registry);
    }

    /** Replaces all objectives by those of {@code services}. */
    void replace(List<ServicePolicy> services) {
        Map<KindName, Objective> next = new HashMap<>();
        services.forEach(service -> service.kinds().forEach(kind -> add(next, service.name(), kind)));
        goodRatio.clear();
        latency.clear();
        next.forEach(this::export);
        objectives = Map.copyOf(next);
    }

    private static void add(Map<KindName, Objective> objectives, String service, RequestKind kind) {
        if (kind.objective() != null) {
            objectives.put(new KindName(service, kind.name()), kind.objective());
        }
    }

    private void export(KindName name, Objective objective) {
        good.initLabelValues(name.service(), name.kind());
        bad.initLabelValues(name.service(), name.kind());
        goodRatio.labelValues(name.service(), name.kind()).set(objective.goodPercent() / PERCENT);
        latency.labelValues(name.service(), name.kind()).set(objective.latencyMillis() / MILLIS_PER_SECOND);
    }

    /**
     * Counts {@code reply} as good or bad. The router's own replies with a client error status (4xx) count as neither.
     *
     * @param latencyNanos the time since the request arrived, in nanoseconds
     */
    void recordReply(CallerReply reply, long latencyNanos) {
        Objective objective = objectives.get(new KindName(reply.service(), reply.kind()));
        if (objective == null || isCallerError(reply)) {
            return;
        }
        boolean isInTime = latencyNanos <= TimeUnit.MILLISECONDS.toNanos(objective.latencyMillis());
        Counter counter = isInTime && reply.status() < FIRST_SERVER_ERROR_STATUS ? good : bad;
        counter.labelValues(reply.service(), reply.kind()).inc();
    }

    private static boolean isCallerError(CallerReply reply) {
        boolean isRejection = !reply.code().equals(CallerReply.ANSWERED);
        return isRejection && reply.status() >= FIRST_CLIENT_ERROR_STATUS && reply.status() < FIRST_SERVER_ERROR_STATUS;
    }

    /**
     * The name of a kind within the document. Immutable.
     *
     * @param service the name of the service
     * @param kind the name of the kind
     */
    private record KindName(String service, String kind) {}
}
