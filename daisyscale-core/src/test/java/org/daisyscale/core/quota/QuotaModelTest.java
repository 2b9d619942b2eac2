package org.daisyscale.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.daisyscale.core.serving.Allowance;
import org.junit.jupiter.api.Test;

/**
 * Guards against more requests of an organisation than its allowance when routers or controllers are lost, suspended,
 * restarted or cut off, and against refusals of requests below the allowance on a quiet day.
 */
class QuotaModelTest {
    private static final long MILLI = QuotaModel.MILLI;

    /** Number of steps of a run with disturbances: 60 s. */
    private static final int STEPS = 12_000;

    private static final int STEPS_PER_SECOND = 200;

    /** Demand as a fraction of the rate: silence in which credits expire, the usual demand, and 7.5 times as much. */
    private static final double[] DEMANDS = {0, 0, 0.62, 4.65};

    private static final Map<String, Allowance> ALLOWANCES = new TreeMap<>(
            Map.of("large", new Allowance(120, 60), "middle", new Allowance(20, 10), "small", new Allowance(4, 6)));

    /** Runs the model with random disturbances, and returns the worst excess over the bound. */
    private static double worstExcess(long seed, long lifetimeNanos) {
        QuotaModel model = new QuotaModel(seed, 5, lifetimeNanos);
        ALLOWANCES.forEach(model::setAllowance);
        Map<String, Double> factors = new HashMap<>();
        for (int step = 0; step < STEPS; step++) {
            if (step % 100 == 0 && model.random().nextInt(6) == 0) {
                disturb(model);
            }
            if (step % 200 == 0 && model.random().nextInt(6) == 0) {
                ALLOWANCES
                        .keySet()
                        .forEach(
                                name -> factors.put(name, DEMANDS[model.random().nextInt(DEMANDS.length)]));
            }
            arrive(model, factors);
            model.step();
        }
        return model.allRuns().values().stream()
                .mapToDouble(ModelRuns::worstExcessOverBound)
                .max()
                .orElseThrow();
    }

    private static double worstExcess(QuotaModel model) {
        return model.allRuns().values().stream()
                .mapToDouble(ModelRuns::worstExcess)
                .max()
                .orElseThrow();
    }

    /** Cuts a router off while it has credits; ten silent seconds later, all routers get 7.5 times the usual demand. */
    private static double worstExcessWithACutOffRouter(long lifetimeNanos) {
        QuotaModel model = new QuotaModel(3, 5, lifetimeNanos);
        ALLOWANCES.forEach(model::setAllowance);
        run(model, 10, 0.62);
        ModelRouter router = model.routers().stream()
                .filter(each -> each != model.controllerOrAny())
                .findFirst()
                .orElseThrow();
        router.cutOff(model.routers(), true);
        run(model, 10, 0);
        run(model, 6, 4.65);
        return worstExcess(model);
    }

    private static void run(QuotaModel model, int seconds, double demand) {
        Map<String, Double> factors = new HashMap<>();
        ALLOWANCES.keySet().forEach(name -> factors.put(name, demand));
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            arrive(model, factors);
            model.step();
        }
    }

    private static void arrive(QuotaModel model, Map<String, Double> factors) {
        double stepSeconds = QuotaModel.STEP_NANOS / 1e9;
        ALLOWANCES.forEach((name, allowance) -> {
            double expected = allowance.requestsPerSecond() * factors.getOrDefault(name, 0.62) * stepSeconds;
            for (ModelRouter router : model.routers()) {
                double perRouter = expected / model.routers().size();
                if (router.isRunning() && model.random().nextDouble() < perRouter) {
                    router.arrive(name);
                }
            }
        });
    }

    private static void disturb(QuotaModel model) {
        ModelRouter router = model.random().nextBoolean() ? model.controllerOrAny() : model.anyRouter();
        switch (model.random().nextInt(8)) {
            case 0 -> router.suspend(model.random().nextLong(200, 6_000) * MILLI);
            case 1 -> router.lose();
            case 2 ->
                model.routers().stream().filter(each -> each.isLost()).forEach(each -> {
                    each.restart();
                    model.reconnect(each);
                });
            case 3 -> router.cutOff(model.routers(), model.random().nextBoolean());
            case 4, 7 -> model.routers().stream().filter(each -> !each.isLost()).forEach(model::reconnect);
            default -> {
                Allowance usual = ALLOWANCES.get("large");
                double factor = model.random().nextDouble(0.2, 1.2);
                model.setAllowance(
                        "large", new Allowance(usual.requestsPerSecond() * factor, usual.burstRequests() * factor));
            }
        }
    }

    @Property(tries = 60)
    void shouldNeverExceedTheBoundInAnyWindow(@ForAll long seed) {
        assertThat(worstExcess(seed, QuotaTiming.LIFETIME_NANOS)).isLessThanOrEqualTo(0);
    }

    @Test
    void shouldNotExceedTheAllowanceWithCreditsOfARouterThatIsCutOff() {
        assertThat(worstExcessWithACutOffRouter(QuotaTiming.LIFETIME_NANOS)).isLessThanOrEqualTo(0);
    }

    /** Guards against a model that finds nothing. */
    @Test
    void shouldFindCreditsThatDoNotExpire() {
        assertThat(worstExcessWithACutOffRouter(Long.MAX_VALUE / 4)).isGreaterThan(0);
    }

    @Test
    void shouldRefuseLessThanOneInAHundredOnAQuietDay() {
        QuotaModel model = new QuotaModel(7, 12, QuotaTiming.LIFETIME_NANOS);
        ALLOWANCES.forEach(model::setAllowance);
        run(model, 6, 0);
        long messagesBefore = model.messageCount();
        run(model, 30, 0.62);
        for (String name : ALLOWANCES.keySet()) {
            long arrived = model.routers().stream()
                    .mapToLong(router -> router.arrivedCount(name))
                    .sum();
            long refused = model.routers().stream()
                    .mapToLong(router -> router.refusedCount(name))
                    .sum();
            assertThat(refused).as("%s of %d", name, arrived).isLessThan(Math.max(1, arrived / 100));
        }
        double perRouterAndSecond = (model.messageCount() - messagesBefore) / 12.0 / 30;
        assertThat(perRouterAndSecond).isLessThan(20);
    }
}
