package org.daisyscale.core.internal.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.junit.jupiter.api.Test;

class MoveHistoryTest {
    private static final Owner OLD = new Owner("old", 1, "10.0.0.1", 80);
    private static final Owner NEW = new Owner("new", 1, "10.0.0.2", 80);
    private static final long SECOND = 1_000_000_000L;

    private final MoveHistory history = new MoveHistory();

    private void move(int firstKey, int lastKey, Owner from, Owner to) {
        history.record(
                List.of(KeyAssignment.first(firstKey, lastKey, from, 1)),
                List.of(KeyAssignment.first(firstKey, lastKey, to, 2)),
                0);
    }

    /** Guards against keys that return to an owner while the load that moved them lasts. */
    @Test
    void shouldRememberTheOwnerThatKeysLeftForTenSeconds() {
        move(100, 199, OLD, NEW);

        assertThat(history.hasLeft(OLD, 150, 150, 9 * SECOND)).isTrue();
        assertThat(history.hasLeft(OLD, 150, 150, 11 * SECOND)).isFalse();
        assertThat(history.hasLeft(OLD, 200, 300, SECOND)).isFalse();
        assertThat(history.hasLeft(NEW, 150, 150, SECOND)).isFalse();
    }

    /** Guards against a new fence for the same owner that counts as a move and pins its keys. */
    @Test
    void shouldNotCountARangeThatKeepsItsOwner() {
        move(100, 199, OLD, OLD);

        assertThat(history.hasMoved(100, 199, SECOND)).isFalse();
    }
}
