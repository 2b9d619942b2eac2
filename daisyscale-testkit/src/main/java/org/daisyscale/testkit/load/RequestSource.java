package org.daisyscale.testkit.load;

import java.util.List;
import java.util.SplittableRandom;

/** Makes the requests of a plan in their order. Used by one thread. */
public final class RequestSource {
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadPlan plan;
    private final SplittableRandom random;
    private final List<KeyChoice> keyChoices;
    private final double weightSum;
    private long count;
    private double nextNanos;

    /** Begins at the first request of {@code plan}. */
    public RequestSource(LoadPlan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.keyChoices = plan.kinds().stream()
                .map(kind -> KeyChoice.of(kind.keyCount(), kind.zipfExponent()))
                .toList();
        this.weightSum = plan.kinds().stream().mapToDouble(LoadKind::weight).sum();
    }

    /** The next request. */
    public LoadRequest next() {
        int index = nextKindIndex();
        LoadKind kind = plan.kinds().get(index);
        String key = "k" + keyChoices.get(index).next(random);
        byte[] body = new byte[kind.bodyBytes()];
        random.nextBytes(body);
        String path = kind.pathTemplate().replace("{key}", key);
        String id = kind.hasId() ? UuidV7.next(random) : "";
        LoadRequest request = new LoadRequest(count++, kind, path, id, body, (long) nextNanos);
        nextNanos += gapNanos();
        return request;
    }

    private int nextKindIndex() {
        double draw = random.nextDouble() * weightSum;
        int index = 0;
        while (index < plan.kinds().size() - 1
                && draw >= plan.kinds().get(index).weight()) {
            draw -= plan.kinds().get(index).weight();
            index++;
        }
        return index;
    }

    private double gapNanos() {
        double meanNanos = NANOS_PER_SECOND / plan.ratePerSecond();
        return plan.isPoisson() ? -meanNanos * Math.log1p(-random.nextDouble()) : meanNanos;
    }
}
