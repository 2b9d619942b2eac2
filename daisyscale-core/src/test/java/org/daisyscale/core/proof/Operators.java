package org.daisyscale.core.proof;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.Configuration;

/**
 * Operators that propose changes of the configuration to random routers and retry each change until it is accepted or
 * the retries run out. Not thread-safe; confined to the thread of the run.
 */
final class Operators {
    private static final long RETRY_MILLIS = 700;
    private static final int MAX_RETRIES = 200;

    private final World world;
    private final SplittableRandom random;
    private final Map<String, Runnable> retries = new HashMap<>();
    private int proposalCount;

    Operators(World world, SplittableRandom random) {
        this.world = world;
        this.random = random;
    }

    void setDataCentreOut(String dataCentre, boolean isOut) {
        propose(new Change(dataCentre, "", isOut), 0);
    }

    void setServerDrained(String server, boolean isDrained) {
        propose(new Change("", server, isDrained), 0);
    }

    private void propose(Change change, int retryCount) {
        List<SimRouter> routers = world.liveRouters().stream()
                .filter(router -> router.configuration() != null)
                .toList();
        if (retryCount > MAX_RETRIES || change.isAppliedTo(world.platform().configuration())) {
            return;
        }
        proposalCount++;
        String requestId = "proposal-" + proposalCount;
        Runnable retry = () -> {
            if (retries.remove(requestId) != null) {
                propose(change, retryCount + 1);
            }
        };
        retries.put(requestId, retry);
        if (!routers.isEmpty()) {
            SimRouter router = routers.get(random.nextInt(routers.size()));
            router.deliver(
                    new Event.ConfigurationProposed(requestId, change.applyTo(router.configuration(), requestId)));
        }
        world.scheduler().scheduleAfterMillis(RETRY_MILLIS, retry);
    }

    void handleAnswer(Action.AnswerProposal answer) {
        if (answer.isAccepted()) {
            retries.remove(answer.requestId());
            if (world.platform().configuration().revision() < answer.revision()) {
                world.observer()
                        .recordViolation(10, "accepted a revision that the platform's service lacks: " + answer);
            }
        }
    }

    private record Change(String dataCentre, String server, boolean isSet) {

        boolean isAppliedTo(Configuration configuration) {
            return configuration.equals(applyTo(configuration, configuration.writeId(), configuration.revision()));
        }

        Configuration applyTo(Configuration base, String writeId) {
            return applyTo(base, writeId, base.revision() + 1);
        }

        private Configuration applyTo(Configuration base, String writeId, long revision) {
            TreeSet<String> out = new TreeSet<>(base.dataCentresOut());
            TreeSet<String> drained = new TreeSet<>(base.serversDrained());
            updateNames(out, dataCentre);
            updateNames(drained, server);
            return new Configuration(
                    revision, writeId, base.documentText(), base.document(), out, drained, base.history());
        }

        private void updateNames(TreeSet<String> names, String name) {
            if (isSet && !name.isEmpty()) {
                names.add(name);
            } else {
                names.remove(name);
            }
        }
    }
}
