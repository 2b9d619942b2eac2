package org.daisyscale.core.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.LoadReport;

/** Simulates a backend server with slots, a bounded queue, a speed and granted keys. Not thread-safe. */
final class ReplayedServer {
    private static final int QUEUE_LIMIT = 12;

    private final Timeline time;
    private BackendServer registration;
    private final boolean isSharded;
    private final Deque<Work> waiting = new ArrayDeque<>();
    private final List<Work> running = new ArrayList<>();
    private final List<Hold> holds = new ArrayList<>();
    private final List<Hold> acceptedGrants = new ArrayList<>();
    private double speed;
    private double noise = 1;
    private double shedFraction;
    private UniformRandomProvider shedRandom;
    private boolean isDown;
    private int incarnation = 1;

    ReplayedServer(Timeline time, BackendServer registration, boolean isSharded, double speed) {
        this.time = time;
        this.registration = registration;
        this.isSharded = isSharded;
        this.speed = speed;
    }

    BackendServer registration() {
        return registration;
    }

    void speed(double newSpeed) {
        speed = newSpeed;
    }

    /** Multiplies the service time of later work by {@code newNoise}, as other load on the machine would. */
    void noise(double newNoise) {
        noise = newNoise;
    }

    /** Makes the server reject {@code fraction} of the requests at random, however busy it is. */
    void shed(double fraction, UniformRandomProvider random) {
        shedFraction = fraction;
        shedRandom = random;
    }

    void crash() {
        isDown = true;
        running.clear();
        waiting.clear();
        holds.clear();
        acceptedGrants.clear();
    }

    /** Starts another process at the address, without any grants. */
    void restart(BackendServer newRegistration) {
        crash();
        registration = newRegistration;
        isDown = false;
        incarnation++;
    }

    /** Returns a number that distinguishes the processes at the address. */
    int incarnation() {
        return incarnation;
    }

    boolean isDown() {
        return isDown;
    }

    void arrive(int key, double workMillis, BiConsumer<AttemptOutcome, Optional<LoadReport>> onEnd) {
        Work work = new Work(key, workMillis, onEnd);
        if (isDown) {
            onEnd.accept(AttemptOutcome.CONNECTION_REFUSED, Optional.empty());
        } else if (isSharded && !holdsKey(key)) {
            onEnd.accept(AttemptOutcome.REFUSED_NOT_OWNER, Optional.of(load()));
        } else if (shedFraction > 0 && shedRandom.nextDouble() < shedFraction) {
            onEnd.accept(AttemptOutcome.REFUSED_FULL, Optional.of(load()));
        } else if (running.size() < registration.slots()) {
            start(work);
        } else if (waiting.size() < QUEUE_LIMIT) {
            waiting.add(work);
        } else {
            onEnd.accept(AttemptOutcome.REFUSED_FULL, Optional.of(load()));
        }
    }

    private void start(Work work) {
        running.add(work);
        time.after(work.millis() * noise / speed, () -> {
            if (running.remove(work)) {
                Work next = waiting.poll();
                if (next != null) {
                    start(next);
                }
                work.onEnd().accept(AttemptOutcome.ANSWERED, Optional.of(load()));
            }
        });
    }

    private LoadReport load() {
        int percent = (int) Math.round(noise * LoadReport.USUAL_DURATION_PERCENT);
        return new LoadReport(running.size(), waiting.size(), registration.slots(), percent);
    }

    boolean holdsKey(int key) {
        return holds.stream().anyMatch(hold -> hold.covers(key) && hold.untilNanos() > time.nowNanos());
    }

    /** Returns whether any of the keys is held now. */
    boolean holdsAny(int firstKey, int lastKey) {
        return !isDown
                && holds.stream()
                        .anyMatch(hold -> hold.firstKey() <= lastKey
                                && firstKey <= hold.lastKey()
                                && hold.untilNanos() > time.nowNanos());
    }

    /** Returns whether the process accepted a grant of any of the keys under a fence above {@code fence}. */
    boolean hasSeenHigherFence(int firstKey, int lastKey, long fence) {
        return acceptedGrants.stream()
                .anyMatch(grant -> grant.fence() > fence && grant.firstKey() <= lastKey && firstKey <= grant.lastKey());
    }

    void grant(int firstKey, int lastKey, long fence, long holdMillis) {
        acceptedGrants.removeIf(
                grant -> grant.fence() <= fence && firstKey <= grant.firstKey() && grant.lastKey() <= lastKey);
        acceptedGrants.add(new Hold(firstKey, lastKey, fence, 0));
        holds.removeIf(hold -> hold.fence() == fence && firstKey <= hold.firstKey() && hold.lastKey() <= lastKey);
        holds.add(new Hold(firstKey, lastKey, fence, time.nowNanos() + holdMillis * 1_000_000L));
    }

    /** Stops new work on the keys; runs {@code onReleased} once running work on them has ended. */
    void release(int firstKey, int lastKey, Runnable onReleased) {
        List<Hold> parts = new ArrayList<>();
        for (Hold hold : holds) {
            if (hold.firstKey() < firstKey) {
                parts.add(new Hold(
                        hold.firstKey(), Math.min(hold.lastKey(), firstKey - 1), hold.fence(), hold.untilNanos()));
            }
            if (hold.lastKey() > lastKey) {
                parts.add(new Hold(
                        Math.max(hold.firstKey(), lastKey + 1), hold.lastKey(), hold.fence(), hold.untilNanos()));
            }
        }
        holds.clear();
        holds.addAll(parts);
        List<Work> dropped =
                waiting.stream().filter(work -> !holdsKey(work.key())).toList();
        waiting.removeAll(dropped);
        dropped.forEach(work -> work.onEnd().accept(AttemptOutcome.REFUSED_NOT_OWNER, Optional.of(load())));
        awaitReleased(firstKey, lastKey, onReleased);
    }

    private void awaitReleased(int firstKey, int lastKey, Runnable onReleased) {
        if (running.stream().anyMatch(work -> firstKey <= work.key() && work.key() <= lastKey)) {
            time.after(5, () -> awaitReleased(firstKey, lastKey, onReleased));
        } else {
            onReleased.run();
        }
    }

    private record Work(int key, double millis, BiConsumer<AttemptOutcome, Optional<LoadReport>> onEnd) {}

    private record Hold(int firstKey, int lastKey, long fence, long untilNanos) {

        private boolean covers(int key) {
            return firstKey <= key && key <= lastKey;
        }
    }
}
