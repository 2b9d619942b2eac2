package org.daisyscale.router.internal.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.serving.ConfigurationSource;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableHistory;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.FleetDecoder;

/**
 * What operators wrote, as far as this router knows it: the newest configuration and the evacuated data centres. The
 * version of the configuration never decreases. Not thread-safe; confined to one thread.
 */
final class OperatorState {
    private final FleetDecoder decoder;
    private final Consumer<ServingEvent> events;
    private final Readiness readiness;
    private final RoutingTableHistory history = new RoutingTableHistory();
    private RoutingTable table;
    private long tableRevision;
    private Set<String> evacuatedDataCentres = Set.of();

    OperatorState(FleetDecoder decoder, Consumer<ServingEvent> events, Readiness readiness) {
        this.decoder = decoder;
        this.events = events;
        this.readiness = readiness;
    }

    /** Applies a complete listing of the items of operators. */
    void applyListing(List<Item> items) {
        Set<String> dataCentres = new HashSet<>();
        for (Item item : items) {
            decoder.evacuatedDataCentre(item.key()).ifPresent(dataCentres::add);
            readTable(item);
        }
        setEvacuated(dataCentres);
        readiness.markOperatorsKnown();
    }

    /** Applies {@code changes} in their order; of several versions of an item only the last one is read. */
    void applyChanges(List<ItemChange> changes) {
        Set<String> dataCentres = new HashSet<>(evacuatedDataCentres);
        for (ItemChange change : changes) {
            decoder.evacuatedDataCentre(change.key())
                    .ifPresent(dataCentre ->
                            addOrRemove(dataCentres, dataCentre, change.item().isPresent()));
        }
        for (int index = 0; index < changes.size(); index++) {
            ItemChange change = changes.get(index);
            if (isLastOfItem(change, changes.subList(index + 1, changes.size()))) {
                change.item().ifPresent(this::readTable);
            }
        }
        setEvacuated(dataCentres);
    }

    private static boolean isLastOfItem(ItemChange change, List<ItemChange> later) {
        return later.stream().noneMatch(other -> other.key().equals(change.key()));
    }

    private static void addOrRemove(Set<String> dataCentres, String dataCentre, boolean isEvacuated) {
        if (isEvacuated) {
            dataCentres.add(dataCentre);
        } else {
            dataCentres.remove(dataCentre);
        }
    }

    /** Returns the version of the configuration that is known here; 0 for none. */
    long version() {
        return table == null ? 0 : table.version();
    }

    /** Applies an update of the controller if it can be applied to the table that is known here. */
    UpdateResult applyUpdate(ControllerUpdate received) {
        OperatorUpdate update = received.update();
        if (table == null) {
            return UpdateResult.NO_CONFIGURATION;
        }
        if (table.version() < update.table().version()) {
            if (!update.table().appliesTo(table)) {
                return UpdateResult.DOES_NOT_APPLY;
            }
            EventLog.info(
                    "configuration-told",
                    "version=%d from=%d revision=%d"
                            .formatted(update.table().version(), table.version(), update.revision()));
            applyTable(update.table().applyTo(table), received.source());
        }
        setEvacuated(update.evacuatedDataCentres());
        return UpdateResult.APPLIED;
    }

    /**
     * Creates the update that the controller sends, with {@code revision} as that of the last change; empty without a
     * configuration.
     */
    Optional<OperatorUpdate> createUpdate(long revision) {
        if (table == null) {
            return Optional.empty();
        }
        history.add(table);
        return Optional.of(new OperatorUpdate(revision, history.change(), evacuatedDataCentres));
    }

    private void readTable(Item item) {
        if (item.revision() <= tableRevision) {
            return;
        }
        decoder.table(item).ifPresent(read -> {
            tableRevision = item.revision();
            EventLog.info(
                    "configuration-seen",
                    "version=%d revision=%d bytes=%d".formatted(read.version(), item.revision(), item.value().length));
            applyTable(read, ConfigurationSource.fromStore(item.revision()));
        });
    }

    private void applyTable(RoutingTable newer, ConfigurationSource source) {
        if (table == null || newer.version() > table.version()) {
            table = newer;
            events.accept(new ServingEvent.TableChanged(newer, source));
            readiness.markTableKnown();
        }
    }

    private void setEvacuated(Set<String> dataCentres) {
        if (!dataCentres.equals(evacuatedDataCentres)) {
            evacuatedDataCentres = Set.copyOf(dataCentres);
            EventLog.info("evacuation-seen", "dataCentres=" + evacuatedDataCentres);
            events.accept(new ServingEvent.EvacuationsChanged(evacuatedDataCentres));
        }
    }
}
