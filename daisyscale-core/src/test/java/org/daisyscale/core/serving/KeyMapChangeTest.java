package org.daisyscale.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.junit.jupiter.api.Test;

/** Guards against routers that serve by a map which the controller never published. */
class KeyMapChangeTest {
    private static final int STEPS = 400;

    private final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(11);

    private static Owner owner(int index) {
        return new Owner("server-" + index, 1, "10.0.0." + index, 80);
    }

    private KeyMap initialMap() {
        List<KeyAssignment> assignments = new ArrayList<>();
        for (int index = 0; index < 16; index++) {
            assignments.add(KeyAssignment.first(index * 4_096, index * 4_096 + 4_095, owner(index), index + 1));
        }
        return new KeyMap("stock", 1, 0, 100, assignments);
    }

    /** Splits a range, moves it, settles it or merges it with the next one. */
    private KeyMap changedAtRandom(KeyMap map) {
        List<KeyAssignment> assignments = new ArrayList<>(map.assignments());
        int index = random.nextInt(assignments.size());
        KeyAssignment range = assignments.get(index);
        int kind = random.nextInt(4);
        if (kind == 0 && range.keyCount() > 1) {
            int middle = range.firstKey() + random.nextInt(range.keyCount() - 1);
            assignments.set(index, range.withKeys(range.firstKey(), middle));
            assignments.add(
                    index + 1,
                    range.withKeys(middle + 1, range.lastKey()).movedTo(owner(random.nextInt(16)), map.nextFence()));
        } else if (kind == 1) {
            assignments.set(index, range.movedTo(owner(random.nextInt(16)), map.nextFence()));
        } else if (kind == 2) {
            assignments.set(index, range.settled());
        } else if (index + 1 < assignments.size()) {
            KeyAssignment next = assignments.remove(index + 1);
            assignments.set(index, range.withKeys(range.firstKey(), next.lastKey()));
        }
        return new KeyMap(map.service(), map.version() + 1, 0, map.nextFence() + 1, assignments);
    }

    @Test
    void shouldLeadToTheSameMapStepByStepAndForSeveralStepsTogether() {
        KeyMap map = initialMap();
        KeyMap stepped = map;
        KeyMap joinedFrom = map;
        KeyMapChange joined = KeyMapChange.between(map, map);

        for (int step = 0; step < STEPS; step++) {
            KeyMap next = changedAtRandom(map);
            KeyMapChange change = KeyMapChange.between(map, next);
            assertThat(change.appliesTo(stepped)).isTrue();
            stepped = change.applyTo(stepped);
            assertThat(joined.isFollowedBy(change)).isTrue();
            joined = joined.then(change);
            map = next;

            assertThat(stepped).isEqualTo(map);
            assertThat(joined.applyTo(joinedFrom)).isEqualTo(map);
            if (step % 20 == 0) {
                joinedFrom = map;
                joined = KeyMapChange.between(map, map);
            }
        }
    }

    @Test
    void shouldContainOnlyTheRangesThatChanged() {
        KeyMap before = initialMap();
        List<KeyAssignment> assignments = new ArrayList<>(before.assignments());
        assignments.set(3, assignments.get(3).settled());

        KeyMapChange change = KeyMapChange.between(before, new KeyMap("stock", 1, 1, before.nextFence(), assignments));

        assertThat(change.assignments()).containsExactly(assignments.get(3));
    }

    @Test
    void shouldNotApplyToAnotherMapThanTheOneItStartsFrom() {
        KeyMap first = initialMap();
        KeyMap second = changedAtRandom(first);
        KeyMap third = changedAtRandom(second);

        assertThat(KeyMapChange.between(second, third).appliesTo(first)).isFalse();
    }
}
