package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.junit.jupiter.api.Test;

/** Guards against a controller that gives keys to servers before it knows which data centres are evacuated. */
class EvacuationsNotYetKnownTest extends KeyControllerScenario {

    @Test
    void shouldWriteAFirstMapWhenTheEvacuationsAreKnown() {
        registerService("k1", "k2");
        renewLease(60_000);

        assertThat(actionsOf(KeyAction.WriteMap.class, handle(new KeyEvent.MapAbsent("stock"))))
                .hasSize(1);
    }

    @Test
    void shouldWriteNoFirstMapBeforeTheEvacuationsAreKnown() {
        registerServiceWithoutEvacuations("k1", "k2");
        renewLease(60_000);

        assertThat(actionsOf(KeyAction.WriteMap.class, handle(new KeyEvent.MapAbsent("stock"))))
                .isEmpty();
    }

    @Test
    void shouldMoveNoKeysAfterATakeOverBeforeTheEvacuationsAreKnown() {
        registerServiceWithoutEvacuations("k1", "k2");
        changeFleet(new ServingEvent.ServerChanged(server("k1", 1, true)));
        renewLease(60_000);
        KeyAssignment all = new KeyAssignment(0, KeyMap.KEY_COUNT - 1, owner("k1"), 3, true, List.of());
        KeyMap withFences = actionsOf(
                        KeyAction.WriteMap.class,
                        handle(new KeyEvent.MapRead(new KeyMap("stock", 3, 0, 5, List.of(all)), 30)))
                .get(0)
                .map();
        List<KeyAction> afterWrite = new ArrayList<>(handle(new KeyEvent.MapWritten(withFences, 31)));

        grants(afterWrite)
                .forEach(grant -> afterWrite.addAll(handle(new KeyEvent.GrantAccepted(grant.callId(), true))));
        afterWrite.addAll(advance(1_000));

        assertThat(actionsOf(KeyAction.WriteMap.class, afterWrite)).isEmpty();
    }
}
