package org.daisyscale.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.core.serving.Organisation;
import org.daisyscale.core.serving.OrganisationTable;

/**
 * Reserves credits of the organisations' allowances for the routers, while this router holds the control lease.
 *
 * <p>Invariant: for each organisation, the requests that ran in the window and the credits at routers never exceed the
 * allowance, whatever the routers do. What the ledger can't know counts as used.
 *
 * <p>Not thread-safe; confined to one thread.
 */
public final class QuotaLedger {
    /** Interval at which organisations without requests are forgotten, in nanoseconds. */
    private static final long SWEEP_NANOS = 1_000_000_000L;
    /** Fraction of what is available that one router gets at once, so that a shortage is shared. */
    private static final double MAX_SHARE = 0.25;
    /** Spreads the hash of a router's id over all bits of a term. */
    private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

    private final long seed;
    private final QuotaSettings settings;
    private final long windowNanos;
    private final TakeOver.Routers routers = new TakeOver.Routers();
    private final Map<String, RouterSession> sessionByRouter = new HashMap<>();
    private final Map<String, OrganisationLedger> ledgerByName = new HashMap<>();
    private final List<QuotaAction> actions = new ArrayList<>();
    private OrganisationTable organisations = OrganisationTable.NONE;
    private boolean isEnabled;
    private boolean isLeaseHeld;
    private long validUntilNanos;
    private long term;
    private TakeOver takeOver;
    private long sweptNanos;

    /** Creates the ledger of the router {@code routerId}, which does not hold the control lease. */
    public QuotaLedger(String routerId, QuotaSettings settings) {
        this.seed = routerId.hashCode() * SEED_FACTOR;
        this.settings = settings;
        this.windowNanos = settings.windowMillis() * 1_000_000L;
    }

    /** Handles {@code event} at {@code nowNanos} of the monotonic clock and returns the actions that result. */
    public List<QuotaAction> handle(QuotaEvent event, long nowNanos) {
        if (event instanceof QuotaEvent.ReportReceived received) {
            handleReport(received.routerId(), received.report(), nowNanos);
        } else if (event instanceof QuotaEvent.OrganisationsChanged changed) {
            replaceOrganisations(changed.table(), nowNanos);
        } else if (event instanceof QuotaEvent.RoutersChanged changed) {
            routers.replace(changed.routerIds(), nowNanos);
            updateTakeOver(nowNanos);
        } else if (event instanceof QuotaEvent.RouterConnected connected) {
            requestWhole(connected.routerId(), nowNanos);
        } else {
            handleLease(event, nowNanos);
        }
        sweep(nowNanos);
        List<QuotaAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    private void replaceOrganisations(OrganisationTable table, long nowNanos) {
        organisations = table;
        boolean wasEnabled = isEnabled;
        isEnabled = table.byName().values().stream()
                .anyMatch(organisation -> organisation.allowance().isLimited());
        if (isEnabled && !wasEnabled) {
            requestAllWhole(nowNanos);
        }
    }

    private void handleLease(QuotaEvent event, long nowNanos) {
        if (event instanceof QuotaEvent.LeaseRenewed renewed) {
            validUntilNanos = renewed.validUntilNanos();
            if (!isLeaseHeld) {
                takeOver(nowNanos);
            }
        } else if (event instanceof QuotaEvent.LeaseUncertain) {
            validUntilNanos = nowNanos;
        } else if (event instanceof QuotaEvent.LeaseLost) {
            isLeaseHeld = false;
            sessionByRouter.clear();
            ledgerByName.clear();
        }
    }

    private void takeOver(long nowNanos) {
        isLeaseHeld = true;
        term = newTerm(nowNanos);
        takeOver = new TakeOver(settings, nowNanos);
        sessionByRouter.clear();
        ledgerByName.clear();
        if (isEnabled) {
            actions.add(new QuotaAction.Report(
                    "allowances-controlled", "term=%d %s".formatted(term, takeOver.describe(nowNanos))));
        }
        requestAllWhole(nowNanos);
    }

    /** Returns an identifier that no other ledger of a router used, and that isn't {@link QuotaReport#NO_TERM}. */
    private long newTerm(long nowNanos) {
        return (seed ^ nowNanos) | 1;
    }

    private boolean isLeading(long nowNanos) {
        return isLeaseHeld && validUntilNanos - nowNanos > 0;
    }

    private void requestAllWhole(long nowNanos) {
        routers.present().stream().sorted().forEach(routerId -> requestWhole(routerId, nowNanos));
    }

    private void requestWhole(String routerId, long nowNanos) {
        if (isEnabled && isLeading(nowNanos) && !sessionByRouter.containsKey(routerId)) {
            QuotaGrant request = new QuotaGrant(QuotaGrant.ANY_INCARNATION, term, 0, 0, true, List.of());
            actions.add(new QuotaAction.SendGrant(routerId, request));
        }
    }

    private void handleReport(String routerId, QuotaReport report, long nowNanos) {
        if (!isLeaseHeld) {
            return;
        }
        RouterSession session = sessionByRouter.get(routerId);
        boolean isKnown = session != null && session.incarnation() == report.incarnation();
        if (report.term() != term || (!isKnown && !report.isWhole())) {
            reply(
                    routerId,
                    new QuotaGrant(report.incarnation(), term, 0, report.sequence(), true, List.of()),
                    nowNanos);
        } else if (!isKnown) {
            startSession(routerId, report, nowNanos);
        } else if (session.isNewer(report.sequence())) {
            session.advanceTo(report.sequence());
            report.usages().forEach(usage -> update(session, report, usage, nowNanos));
            grant(routerId, session, report, nowNanos);
        }
    }

    private void startSession(String routerId, QuotaReport report, long nowNanos) {
        RouterSession session = new RouterSession(report.incarnation(), nowNanos - report.uptimeMillis() * 1_000_000L);
        session.advanceTo(report.sequence());
        sessionByRouter.put(routerId, session);
        report.usages().forEach(usage -> recordFirst(session, usage, nowNanos));
        updateTakeOver(nowNanos);
        grant(routerId, session, report, nowNanos);
    }

    /** Records what a router reports to a new controller: what it ran in the window, and the credits that it holds. */
    private void recordFirst(RouterSession session, QuotaReport.Usage usage, long nowNanos) {
        OrganisationLedger ledger = ledger(usage.organisation(), nowNanos);
        long ageNanos = 0;
        long knownCount = usage.heldCount();
        for (long ranCount : usage.ranBySecond()) {
            ledger.recordRan(nowNanos - ageNanos, ranCount);
            ageNanos += 1_000_000_000L;
            knownCount += ranCount;
        }
        session.holding(usage.organisation())
                .add(0, usage.heldCount(), nowNanos + QuotaTiming.LIFETIME_AT_CONTROLLER_NANOS, ledger);
        ledger.recordAtTakeOver(knownCount);
    }

    private void updateTakeOver(long nowNanos) {
        if (isLeaseHeld) {
            boolean isNews = takeOver.update(sessionByRouter, routers.awaited(nowNanos));
            if (isNews && isEnabled) {
                actions.add(new QuotaAction.Report(
                        "allowances-reported",
                        "routers=%d %s".formatted(sessionByRouter.size(), takeOver.describe(nowNanos))));
            }
        }
    }

    private void update(RouterSession session, QuotaReport report, QuotaReport.Usage usage, long nowNanos) {
        OrganisationLedger ledger = ledger(usage.organisation(), nowNanos);
        ledger.recordRan(nowNanos, session.update(usage, report.grantSequence(), ledger, nowNanos));
    }

    private void grant(String routerId, RouterSession session, QuotaReport report, long nowNanos) {
        if (!isLeading(nowNanos) || !routers.mayBeServed(routerId, nowNanos)) {
            return;
        }
        List<QuotaGrant.Share> shares = new ArrayList<>();
        long sequence = session.nextGrantSequence();
        for (QuotaReport.Usage usage : report.usages()) {
            if (usage.wantedCount() > 0) {
                shares.add(share(session, sequence, usage, nowNanos));
            }
        }
        if (!shares.isEmpty() || report.isWhole()) {
            reply(
                    routerId,
                    new QuotaGrant(report.incarnation(), term, sequence, report.sequence(), false, shares),
                    nowNanos);
        }
    }

    private void reply(String routerId, QuotaGrant grant, long nowNanos) {
        if (isLeading(nowNanos)) {
            actions.add(new QuotaAction.SendGrant(routerId, grant));
        }
    }

    /** Returns the reply for one organisation; one that this router does not know yet gets nothing. */
    private QuotaGrant.Share share(RouterSession session, long sequence, QuotaReport.Usage usage, long nowNanos) {
        String name = usage.organisation();
        OrganisationLedger ledger = ledger(name, nowNanos);
        Organisation organisation = organisations.byName().get(name);
        if (organisation == null) {
            return new QuotaGrant.Share(name, usage.wantedCount(), 0, 0);
        }
        if (!organisation.allowance().isLimited()) {
            return new QuotaGrant.Share(name, usage.wantedCount(), usage.wantedCount(), 0);
        }
        double limit = organisation.allowance().requestsPerWindow(windowNanos / 1_000_000L);
        double unreported = takeOver.unreported(limit, ledger, nowNanos);
        double allowed = limit + takeOver.allowedBeyond(limit, nowNanos);
        long available = (long) Math.floor(allowed - unreported - ledger.usedCount());
        long granted = Math.min(usage.wantedCount(), Math.max(Math.min(1, available), (long) (available * MAX_SHARE)));
        if (granted <= 0) {
            long missing = usage.wantedCount() - available;
            return new QuotaGrant.Share(name, usage.wantedCount(), 0, ledger.millisUntilFree(missing, nowNanos));
        }
        session.holding(name).add(sequence, granted, nowNanos + QuotaTiming.LIFETIME_AT_CONTROLLER_NANOS, ledger);
        return new QuotaGrant.Share(name, usage.wantedCount(), granted, 0);
    }

    private OrganisationLedger ledger(String name, long nowNanos) {
        OrganisationLedger ledger = ledgerByName.computeIfAbsent(name, key -> new OrganisationLedger(windowNanos));
        ledger.expire(nowNanos);
        return ledger;
    }

    private void sweep(long nowNanos) {
        if (nowNanos - sweptNanos < SWEEP_NANOS) {
            return;
        }
        sweptNanos = nowNanos;
        sessionByRouter.values().forEach(session -> session.removeEmpty(nowNanos));
        ledgerByName.values().forEach(ledger -> ledger.expire(nowNanos));
        if (isLeaseHeld && takeOver.isEnded(nowNanos)) {
            ledgerByName.values().removeIf(OrganisationLedger::isEmpty);
        }
    }

    /** Returns the number of organisations that are counted. */
    public int activeCount() {
        return ledgerByName.size();
    }
}
