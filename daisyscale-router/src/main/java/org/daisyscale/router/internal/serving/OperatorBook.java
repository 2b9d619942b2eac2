package org.daisyscale.router.internal.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableHistory;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.FleetDecoder;

/**
 * What operators wrote, as far as this router knows: the newest configuration and the evacuated data centres. Versions
 * only rise. Used by one thread.
 */
final class OperatorBook {
    private final FleetDecoder decoder;
    private final Consumer<ServingEvent> events;
    private final Readiness readiness;
    private final RoutingTableHistory history = new RoutingTableHistory();
    private RoutingTable table;
    private long tableRevision;
    private Set<String> evacuated = Set.of();

    OperatorBook(FleetDecoder decoder, Consumer<ServingEvent> events, Readiness readiness) {
        this.decoder = decoder;
        this.events = events;
        this.readiness = readiness;
    }

    /** {@code items} are all that there are. */
    void listed(List<Item> items) {
        Set<String> dataCentres = new HashSet<>();
        for (Item item : items) {
            decoder.evacuatedDataCentre(item.key()).ifPresent(dataCentres::add);
            read(item);
        }
        evacuate(dataCentres);
        readiness.operatorsKnown();
    }

    /** {@code changes} were made, in this order; of several versions of an item only the last is read. */
    void changed(List<ItemChange> changes) {
        Set<String> dataCentres = new HashSet<>(evacuated);
        for (ItemChange change : changes) {
            decoder.evacuatedDataCentre(change.key())
                    .ifPresent(dataCentre ->
                            note(dataCentres, dataCentre, change.item().isPresent()));
        }
        for (int index = 0; index < changes.size(); index++) {
            ItemChange change = changes.get(index);
            if (isLast(change, changes.subList(index + 1, changes.size()))) {
                change.item().ifPresent(this::read);
            }
        }
        evacuate(dataCentres);
    }

    private static boolean isLast(ItemChange change, List<ItemChange> later) {
        return later.stream().noneMatch(other -> other.key().equals(change.key()));
    }

    private static void note(Set<String> dataCentres, String dataCentre, boolean isEvacuated) {
        if (isEvacuated) {
            dataCentres.add(dataCentre);
        } else {
            dataCentres.remove(dataCentre);
        }
    }

    /** Takes what the controller read; false when it can't be told from the table that is known here. */
    boolean told(OperatorUpdate update) {
        if (table == null) {
            return false;
        }
        if (table.version() < update.table().version()) {
            if (!update.table().appliesTo(table)) {
                return false;
            }
            EventLog.info(
                    "configuration-told",
                    "version=%d from=%d revision=%d"
                            .formatted(update.table().version(), table.version(), update.revision()));
            take(update.table().applyTo(table));
        }
        evacuate(update.evacuatedDataCentres());
        return true;
    }

    /** What the controller tells, with {@code revision} as that of the last change; empty without a configuration. */
    Optional<OperatorUpdate> update(long revision) {
        if (table == null) {
            return Optional.empty();
        }
        history.add(table);
        return Optional.of(new OperatorUpdate(revision, history.change(), evacuated));
    }

    private void read(Item item) {
        if (item.revision() <= tableRevision) {
            return;
        }
        decoder.table(item).ifPresent(read -> {
            tableRevision = item.revision();
            EventLog.info(
                    "configuration-seen",
                    "version=%d revision=%d bytes=%d".formatted(read.version(), item.revision(), item.value().length));
            take(read);
        });
    }

    private void take(RoutingTable newer) {
        if (table == null || newer.version() > table.version()) {
            table = newer;
            events.accept(new ServingEvent.TableChanged(newer));
            readiness.tableKnown();
        }
    }

    private void evacuate(Set<String> dataCentres) {
        if (!dataCentres.equals(evacuated)) {
            evacuated = Set.copyOf(dataCentres);
            EventLog.info("evacuation-seen", "dataCentres=" + evacuated);
            events.accept(new ServingEvent.EvacuationsChanged(evacuated));
        }
    }
}
