package org.daisyscale.core.replay;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyEvent;

/**
 * Carries grants and releases from the controller to the servers in simulated time, and checks that no two servers hold
 * the same keys. Not thread-safe.
 */
final class GrantNetwork {
    private static final double NETWORK_DELAY_MILLIS = 1.5;
    /** How long the controller waits for the answer to a grant, in milliseconds. */
    private static final double GRANT_TIMEOUT_MILLIS = 500;
    /** One in this many grants is delayed unless another number is given. */
    private static final int DELAYED_GRANTS_ONE_IN = 8;

    private final Timeline time;
    private final UniformRandomProvider random;
    private final Map<String, ReplayedServer> serverByHost;
    private final ReplayResult result;
    private final Consumer<KeyEvent> answers;
    private final FenceHistory fences = new FenceHistory();
    private final Set<String> partitionedServers = new HashSet<>();
    private double maxGrantDelayMillis;
    private int delayedGrantsOneIn = DELAYED_GRANTS_ONE_IN;
    private boolean hasCopiedAnswers;
    private int controllerTerm;

    GrantNetwork(
            Timeline time,
            UniformRandomProvider random,
            Map<String, ReplayedServer> serverByHost,
            ReplayResult result,
            Consumer<KeyEvent> answers) {
        this.time = time;
        this.random = random;
        this.serverByHost = serverByHost;
        this.result = result;
        this.answers = answers;
    }

    /** Leaves the controller's calls to the server unanswered for {@code millis}; the server may accept them anyway. */
    void partitionFromController(String serverId, double millis) {
        partitionedServers.add(serverId);
        time.after(millis, () -> partitionedServers.remove(serverId));
    }

    /**
     * Delays some grants by up to {@code maxMillis}, as lost packets and slow links do. A grant that arrives after its
     * timeout takes effect without an answer; its hold counts from its arrival at the time of the timeout.
     */
    void delayGrants(double maxMillis) {
        maxGrantDelayMillis = maxMillis;
    }

    /** Delays one in {@code oneIn} grants by up to {@code maxMillis}. */
    void delayGrants(double maxMillis, int oneIn) {
        delayedGrantsOneIn = oneIn;
        delayGrants(maxMillis);
    }

    /** Lets a copy of an earlier answer pass for the answer to each delayed grant that needs no proof. */
    void copyAnswers() {
        hasCopiedAnswers = true;
    }

    /** Drops the answers that are still to come, since the controller that made the calls is replaced. */
    void dropOutstandingAnswers() {
        controllerTerm++;
    }

    private Consumer<KeyEvent> answersForPresentController() {
        int term = controllerTerm;
        return answer -> {
            if (term == controllerTerm) {
                answers.accept(answer);
            }
        };
    }

    void send(KeyAction.SendGrant grant) {
        Consumer<KeyEvent> caller = answersForPresentController();
        boolean isDelayed = maxGrantDelayMillis > 0 && random.nextInt(delayedGrantsOneIn) == 0;
        double delayMillis = isDelayed ? random.nextDouble() * maxGrantDelayMillis : 0;
        if (isDelayed && hasCopiedAnswers && !grant.needsProof()) {
            time.after(NETWORK_DELAY_MILLIS, () -> caller.accept(new KeyEvent.GrantAccepted(grant.callId(), false)));
            time.after(delayMillis, () -> takeEffectLate(grant, (long) delayMillis));
        } else if (delayMillis < GRANT_TIMEOUT_MILLIS) {
            time.after(NETWORK_DELAY_MILLIS + delayMillis, () -> deliver(grant, caller));
        } else {
            time.after(GRANT_TIMEOUT_MILLIS, () -> caller.accept(new KeyEvent.CallUnanswered(grant.callId(), true)));
            time.after(delayMillis, () -> takeEffectLate(grant, (long) (delayMillis - GRANT_TIMEOUT_MILLIS)));
        }
    }

    private void takeEffectLate(KeyAction.SendGrant grant, long lateMillis) {
        ReplayedServer server = serverByHost.get(grant.owner().host());
        String process = grant.owner().host() + '#' + server.incarnation();
        boolean isSameProcess = !grant.isRenewal() || fences.wasGrantedTo(grant.fence(), process);
        if (!server.isDown()
                && isSameProcess
                && !server.hasSeenHigherFence(grant.firstKey(), grant.lastKey(), grant.fence())) {
            take(grant, server, process, grant.holdMillis() - lateMillis);
        }
    }

    private void take(KeyAction.SendGrant grant, ReplayedServer server, String process, long holdMillis) {
        serverByHost.values().stream()
                .filter(other -> other != server && other.holdsAny(grant.firstKey(), grant.lastKey()))
                .forEach(other -> result.recordDoubleOwner());
        if (!fences.recordGrant(grant.firstKey(), grant.lastKey(), grant.fence(), process)) {
            result.recordReusedFence();
        }
        server.grant(grant.firstKey(), grant.lastKey(), grant.fence(), holdMillis);
    }

    private void deliver(KeyAction.SendGrant grant, Consumer<KeyEvent> caller) {
        ReplayedServer server = serverByHost.get(grant.owner().host());
        boolean isPartitioned = partitionedServers.contains(grant.owner().serverId());
        if (server.isDown() || (isPartitioned && random.nextBoolean())) {
            caller.accept(new KeyEvent.CallUnanswered(grant.callId(), !server.isDown()));
            return;
        }
        String process = grant.owner().host() + '#' + server.incarnation();
        if (grant.isRenewal() && !fences.wasGrantedTo(grant.fence(), process)) {
            caller.accept(
                    random.nextBoolean()
                            ? new KeyEvent.RenewalUnverified(grant.callId())
                            : new KeyEvent.CallUnanswered(grant.callId(), true));
            return;
        }
        if (server.hasSeenHigherFence(grant.firstKey(), grant.lastKey(), grant.fence())) {
            time.after(NETWORK_DELAY_MILLIS, () -> caller.accept(new KeyEvent.GrantRejected(grant.callId())));
            return;
        }
        take(grant, server, process, grant.holdMillis());
        time.after(
                NETWORK_DELAY_MILLIS,
                () -> caller.accept(
                        isPartitioned
                                ? new KeyEvent.CallUnanswered(grant.callId(), true)
                                : new KeyEvent.GrantAccepted(grant.callId(), grant.needsProof())));
    }

    void send(KeyAction.SendRelease release) {
        Consumer<KeyEvent> caller = answersForPresentController();
        time.after(NETWORK_DELAY_MILLIS, () -> deliver(release, caller));
    }

    private void deliver(KeyAction.SendRelease release, Consumer<KeyEvent> caller) {
        ReplayedServer server = serverByHost.get(release.owner().host());
        if (server.isDown() || partitionedServers.contains(release.owner().serverId())) {
            caller.accept(new KeyEvent.CallUnanswered(release.callId(), !server.isDown()));
            return;
        }
        server.release(
                release.firstKey(),
                release.lastKey(),
                () -> time.after(
                        NETWORK_DELAY_MILLIS, () -> caller.accept(new KeyEvent.Released(release.callId(), "h"))));
    }
}
