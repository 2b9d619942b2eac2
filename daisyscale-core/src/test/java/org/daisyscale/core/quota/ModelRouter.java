package org.daisyscale.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.daisyscale.core.serving.OrganisationTable;

/** A router of {@link QuotaModel} with its account and its ledger; both lose their memory with the process. */
final class ModelRouter {
    private static final long MAX_WAIT_NANOS = 50_000_000L;
    private static final QuotaSettings SETTINGS = new QuotaSettings(5_000, 0.1, 20);

    private final String id;
    private final Set<String> cutOffFrom = new HashSet<>();
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private final QuotaModel model;
    private final SplittableRandom random;
    private final long lifetimeNanos;
    private ModelClock clock;
    private QuotaAccount account;
    private QuotaLedger ledger;
    private final Map<String, List<Long>> waiting = new HashMap<>();
    private final Map<String, Long> arrivedByName = new HashMap<>();
    private final Map<String, Long> refusedByName = new HashMap<>();
    private final List<Runnable> returns = new ArrayList<>();
    private long pausedUntilNanos;
    private boolean wasSuspended;
    private boolean isLost;
    private boolean isCutOffFromStore;
    private long registeredUntilNanos;
    private String controllerId = "";
    private long tableVersion;
    private OrganisationTable table = OrganisationTable.NONE;

    ModelRouter(QuotaModel model, String id, SplittableRandom random, long lifetimeNanos) {
        this.model = model;
        this.id = id;
        this.random = random;
        this.lifetimeNanos = lifetimeNanos;
        restart();
    }

    String id() {
        return id;
    }

    boolean isLost() {
        return isLost;
    }

    boolean isCutOffFromStore() {
        return isCutOffFromStore;
    }

    long registeredUntilNanos() {
        return registeredUntilNanos;
    }

    void registerUntil(long untilNanos) {
        registeredUntilNanos = untilNanos;
    }

    void setController(String routerId) {
        controllerId = routerId;
    }

    long tableVersion() {
        return tableVersion;
    }

    /** Queues an event, which is lost if the process ends before it is handled. */
    void enqueue(Runnable event) {
        inbox.addLast(event);
    }

    void cutOff(List<ModelRouter> others, boolean fromStore) {
        others.forEach(other -> cutOffFrom.add(other.id));
        isCutOffFromStore = fromStore;
    }

    void endCutOff() {
        cutOffFrom.clear();
        isCutOffFromStore = false;
    }

    /** Starts a new process without memory. */
    void restart() {
        isLost = false;
        clock = new ModelClock(random.nextDouble(0.99, 1.01), random.nextLong(1_000_000_000_000L));
        account = new QuotaAccount(random.nextLong(1, Long.MAX_VALUE), SETTINGS, lifetimeNanos);
        account.start(clock.nanos());
        ledger = new QuotaLedger(id, SETTINGS);
        controllerId = "";
        waiting.clear();
        returns.clear();
        inbox.clear();
        tableVersion = 0;
        useTable(model.table(), model.tableVersion());
        handle(new QuotaEvent.RoutersChanged(model.registeredIds()));
    }

    boolean isRunning() {
        return !isLost && pausedUntilNanos <= model.nowNanos();
    }

    boolean reaches(ModelRouter other) {
        return !isLost && !other.isLost && !cutOffFrom.contains(other.id) && !other.cutOffFrom.contains(id);
    }

    void advance(long realNanos) {
        if (isRunning()) {
            clock.advance(realNanos);
        }
    }

    long nanos() {
        return clock.nanos();
    }

    /** Suspends the VM; the router notices it before it does anything else. */
    void suspend(long durationNanos) {
        pausedUntilNanos = model.nowNanos() + durationNanos;
        wasSuspended = true;
    }

    /** Ends the process; what it holds is gone. */
    void lose() {
        isLost = true;
        inbox.clear();
    }

    long arrivedCount(String name) {
        return arrivedByName.getOrDefault(name, 0L);
    }

    long refusedCount(String name) {
        return refusedByName.getOrDefault(name, 0L);
    }

    private void resume() {
        wasSuspended = false;
        account.discardCredits(clock.nanos());
        handle(new QuotaEvent.LeaseUncertain());
    }

    void useTable(OrganisationTable newer, long version) {
        if (version < tableVersion) {
            return;
        }
        tableVersion = version;
        newer.byName().forEach((name, organisation) -> {
            boolean isLowered = table.byName().containsKey(name)
                    && organisation
                            .allowance()
                            .isLowerThan(table.byName().get(name).allowance());
            if (isLowered) {
                account.discardCredits(name, clock.nanos());
            }
        });
        table = newer;
        handle(new QuotaEvent.OrganisationsChanged(newer));
    }

    void handle(QuotaEvent event) {
        for (QuotaAction action : ledger.handle(event, clock.nanos())) {
            if (action instanceof QuotaAction.SendGrant send) {
                model.send(this, send.routerId(), to -> to.receive(send.grant()));
            }
        }
    }

    private void receive(QuotaGrant grant) {
        List<String> names = account.handle(grant, clock.nanos());
        names.forEach(this::retryWaiting);
        account.wantAgain(names, clock.nanos());
    }

    private void retryWaiting(String name) {
        List<Long> sinceNanos = List.copyOf(waiting.getOrDefault(name, List.of()));
        for (long nanos : sinceNanos) {
            if (trySpend(name)) {
                endWait(name, nanos);
            } else if (account.deniedMillis(name, clock.nanos()) > 0) {
                refuse(name, nanos);
            }
        }
    }

    private void refuse(String name, long sinceNanos) {
        refusedByName.merge(name, 1L, Long::sum);
        endWait(name, sinceNanos);
    }

    private void endWait(String name, long nanos) {
        waiting.get(name).remove(nanos);
        account.addWaiting(name, -1, clock.nanos());
    }

    /** A request arrives; it runs at once, waits for a credit or is refused. */
    void arrive(String name) {
        arrivedByName.merge(name, 1L, Long::sum);
        account.recordArrival(name, clock.nanos());
        if (trySpend(name)) {
            return;
        }
        if (account.deniedMillis(name, clock.nanos()) > 0) {
            refusedByName.merge(name, 1L, Long::sum);
        } else {
            waiting.computeIfAbsent(name, key -> new ArrayList<>()).add(clock.nanos());
            account.addWaiting(name, 1, clock.nanos());
        }
    }

    /** Spends a credit on a request; one in fifty certainly does not run, so that its credit is returned. */
    private boolean trySpend(String name) {
        OptionalLong expiryNanos = account.trySpend(name, clock.nanos());
        if (expiryNanos.isEmpty()) {
            return false;
        }
        if (random.nextInt(50) == 0) {
            returns.add(() -> account.giveBack(name, expiryNanos.getAsLong(), clock.nanos()));
        } else {
            model.runs(name).run(model.nowNanos());
        }
        return true;
    }

    /** Handles what was received, gives up requests that waited too long and sends the report that is due. */
    void step() {
        if (wasSuspended) {
            resume();
        }
        while (!inbox.isEmpty()) {
            inbox.removeFirst().run();
        }
        if (random.nextInt(10) == 0) {
            returns.forEach(Runnable::run);
            returns.clear();
        }
        for (String name : List.copyOf(waiting.keySet())) {
            List.copyOf(waiting.get(name)).stream()
                    .filter(sinceNanos -> clock.nanos() - sinceNanos >= MAX_WAIT_NANOS)
                    .forEach(sinceNanos -> refuse(name, sinceNanos));
        }
        account.takeReport(clock.nanos()).ifPresent(this::send);
    }

    private void send(QuotaReport report) {
        model.countMessage();
        model.send(this, controllerId, to -> to.handle(new QuotaEvent.ReportReceived(id, report)));
    }
}
