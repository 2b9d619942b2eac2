package org.daisyscale.router.internal.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.daisyscale.core.following.ItemDigest;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ReadCircumstances;
import org.daisyscale.core.following.TableUpdate;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewContents;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.serving.ConfigurationSource;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.core.serving.RoutingTableHistory;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.following.ItemFailureListener;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.FleetDecoder;

/**
 * What operators wrote, as far as this router knows it: the newest configuration and the evacuated data centres. The
 * version of the configuration never decreases. Other routers are sent routes instead of the configuration's text. Not
 * thread-safe; confined to one thread.
 */
final class OperatorState implements ViewContents {
    /** Stands for the routing table in the digest; a configuration that can't be decoded leaves the older table. */
    private static final String TABLE_KEY = "routing-table";

    private static final byte[] NO_VALUE = new byte[0];

    private final String prefix;
    private final FleetDecoder decoder;
    private final Consumer<ServingEvent> events;
    private final Readiness readiness;
    private final ItemView items;
    private final RoutingTableHistory history = new RoutingTableHistory();
    private final Map<String, EventTime> evacuatedAtByDataCentre = new HashMap<>();
    private RoutingTable table;
    /**
     * The revision of the newest configuration that could be decoded. Routers that read different ones before one that
     * can't be decoded agree on that of the controller, so that they hold the same; a newer table stays in force.
     */
    private long tableRevision;

    private Set<String> publishedEvacuations = Set.of();
    private boolean areEvacuationsPublished;

    OperatorState(FleetDecoder decoder, Consumer<ServingEvent> events, Readiness readiness) {
        this.prefix = decoder.operatorPrefix();
        this.decoder = decoder;
        this.events = events;
        this.readiness = readiness;
        this.items = new ItemView(prefix, new ItemFailureListener(new ItemListener()));
    }

    @Override
    public ViewVersion version() {
        ViewVersion itemsVersion = items.version();
        return new ViewVersion(itemsVersion.revision(), itemsVersion.digest() + tableDigest(tableRevision));
    }

    private static long tableDigest(long revision) {
        return revision == 0 ? 0 : ItemDigest.of(TABLE_KEY, revision);
    }

    @Override
    public void applyListing(Listing listing, ReadCircumstances circumstances) {
        items.applyListing(listing, new ReadCircumstances(circumstances.changedAt(), false));
    }

    @Override
    public void applyChanges(Changes changes, ReadCircumstances circumstances) {
        items.applyChanges(changes, new ReadCircumstances(circumstances.changedAt(), false));
    }

    @Override
    public UpdateResult applyUpdate(ViewUpdate update, String controllerId, EventTime changedAt) {
        ViewUpdate itemsUpdate = withoutTable(update);
        UpdateResult result = check(update, itemsUpdate);
        if (result == UpdateResult.APPLIED) {
            update.tables().forEach(change -> applyTableUpdate(change, controllerId));
            items.applyUpdate(itemsUpdate, controllerId, changedAt);
        }
        return result;
    }

    private UpdateResult check(ViewUpdate update, ViewUpdate itemsUpdate) {
        if (table == null && !update.isWhole()) {
            return UpdateResult.NO_CONFIGURATION;
        }
        if (table != null && update.isWhole() && update.tables().isEmpty()) {
            return UpdateResult.OLDER;
        }
        UpdateResult result = items.check(itemsUpdate);
        boolean differsOnlyInTable = itemsUpdate.version().hasSameItems(items.version()) && !isTableHeld(update);
        boolean isUsable = result == UpdateResult.APPLIED || differsOnlyInTable;
        if (!isUsable) {
            return result;
        }
        return update.tables().stream().allMatch(this::appliesHere)
                ? UpdateResult.APPLIED
                : UpdateResult.DOES_NOT_APPLY;
    }

    private boolean isTableHeld(ViewUpdate update) {
        return update.tables().stream().allMatch(change -> change.revision() == tableRevision);
    }

    private boolean appliesHere(TableUpdate update) {
        RoutingTableChange change = update.change();
        if (table == null) {
            return change.isCompleteTable();
        }
        return change.version() <= table.version() || change.appliesTo(table);
    }

    /** Returns the part of {@code update} that concerns the items alone. */
    private ViewUpdate withoutTable(ViewUpdate update) {
        long heldRevision = update.isWhole() ? 0 : tableRevision;
        long newerRevision = update.tables().stream()
                .mapToLong(TableUpdate::revision)
                .findFirst()
                .orElse(heldRevision);
        ViewVersion version =
                new ViewVersion(update.version().revision(), update.version().digest() - tableDigest(newerRevision));
        return new ViewUpdate(
                update.prefix(), version, update.isWhole(), update.written(), update.removedKeys(), List.of());
    }

    private void applyTableUpdate(TableUpdate update, String controllerId) {
        RoutingTableChange change = update.change();
        if (table == null || change.version() > table.version()) {
            EventLog.info(
                    "configuration-told",
                    "version=%d from=%d revision=%d isWhole=%s"
                            .formatted(change.version(), heldVersion(), update.revision(), change.isWhole()));
            RoutingTable newer = table == null ? change.toTable() : change.applyTo(table);
            applyTable(newer, update.revision(), ConfigurationSource.fromController(controllerId, update.revision()));
        }
        tableRevision = update.revision();
    }

    private long heldVersion() {
        return table == null ? 0 : table.version();
    }

    @Override
    public void confirm(long revision) {
        items.confirm(revision);
    }

    @Override
    public boolean canBeTold() {
        return table != null;
    }

    @Override
    public boolean hasDifferenceFrom(ViewVersion held) {
        boolean isTableHeld = table == null || tableRevision < held.revision();
        return items.hasDifferenceFrom(held)
                && (isTableHeld || history.changeFrom(held.revision()).isPresent());
    }

    @Override
    public ViewUpdate updateFrom(ViewVersion held, boolean isWhole) {
        ViewUpdate update = items.updateFrom(held, isWhole);
        List<Item> written = update.written().stream()
                .map(item -> new Item(item.key(), NO_VALUE, item.revision()))
                .toList();
        return new ViewUpdate(
                prefix, version(), update.isWhole(), written, update.removedKeys(), tables(held, update.isWhole()));
    }

    private List<TableUpdate> tables(ViewVersion held, boolean isWhole) {
        if (table == null || (!isWhole && tableRevision < held.revision())) {
            return List.of();
        }
        Optional<RoutingTableChange> change = isWhole ? Optional.empty() : history.changeFrom(held.revision());
        return List.of(new TableUpdate(tableRevision, change.orElseGet(() -> RoutingTableChange.whole(table))));
    }

    @Override
    public void removeLapsed() {
        items.removeLapsed();
    }

    @Override
    public boolean hasLapsed() {
        return items.hasLapsed();
    }

    @Override
    public String describe() {
        return "version=%d revision=%d evacuated=%d"
                .formatted(heldVersion(), items.version().revision(), publishedEvacuations.size());
    }

    private void applyTable(RoutingTable newer, long revision, ConfigurationSource source) {
        if (table == null || newer.version() > table.version()) {
            table = newer;
            history.add(newer, revision);
            events.accept(new ServingEvent.TableChanged(newer, source));
            readiness.markTableKnown();
        }
    }

    /** Follows the items; of a configuration only the text in the store is decoded. */
    private final class ItemListener implements ViewListener {

        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            Optional<String> dataCentre = decoder.evacuatedDataCentre(item.key());
            if (dataCentre.isPresent()) {
                evacuatedAtByDataCentre.merge(dataCentre.get(), writtenAt, EventTime::earlier);
            } else if (item.value().length > 0 && item.revision() > tableRevision) {
                decoder.table(item).ifPresent(read -> handleRead(item, read));
            }
        }

        @Override
        public boolean ignoresOlderVersions(String key) {
            return decoder.evacuatedDataCentre(key).isEmpty();
        }

        private void handleRead(Item item, RoutingTable read) {
            if (read.version() < heldVersion() && isRestored(item)) {
                // The revision of the newer table stays, so that routers which know only the older one are sent it.
                EventLog.warn(
                        "configuration-restored-older",
                        "version=%d revision=%s: version %d stays in force until a newer one is written"
                                .formatted(read.version(), EraRevision.unpack(item.revision()), heldVersion()));
                return;
            }
            tableRevision = item.revision();
            EventLog.info(
                    "configuration-seen",
                    "version=%d revision=%d bytes=%d".formatted(read.version(), item.revision(), item.value().length));
            applyTable(read, item.revision(), ConfigurationSource.fromStore(item.revision()));
        }

        private boolean isRestored(Item item) {
            return EraRevision.eraOf(tableRevision) < EraRevision.eraOf(item.revision());
        }

        @Override
        public void onRemoved(String key) {
            decoder.evacuatedDataCentre(key).ifPresent(evacuatedAtByDataCentre::remove);
        }

        @Override
        public void onComplete() {
            Set<String> evacuated = evacuatedAtByDataCentre.keySet();
            if (!areEvacuationsPublished || !evacuated.equals(publishedEvacuations)) {
                EventLog.info("evacuation-seen", "dataCentres=" + describeEvacuations());
                events.accept(new ServingEvent.EvacuationsChanged(evacuatedAtByDataCentre));
                areEvacuationsPublished = true;
                publishedEvacuations = Set.copyOf(evacuated);
            }
            readiness.markOperatorsKnown();
        }

        private Map<String, String> describeEvacuations() {
            long nowNanos = System.nanoTime();
            Map<String, String> ageByDataCentre = new TreeMap<>();
            evacuatedAtByDataCentre.forEach(
                    (dataCentre, evacuatedAt) -> ageByDataCentre.put(dataCentre, evacuatedAt.describe(nowNanos)));
            return ageByDataCentre;
        }
    }
}
