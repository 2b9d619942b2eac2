package org.daisyscale.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Spends the credits that the controller granted to this router, asks for more by demand, and reports what was spent.
 *
 * <p>Invariants: a credit is spent once, and not after its expiry. What was spent is reported, or the controller learns
 * by the gap in the sequence that it does not know.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
public final class QuotaAccount {
    /** Minimum interval of reports, in nanoseconds: at most 50 messages a second. */
    private static final long MIN_INTERVAL_NANOS = 20_000_000L;
    /** How long a wish for credits in advance may wait for others, in nanoseconds; the credits left last longer. */
    private static final long PREFETCH_DELAY_NANOS = 100_000_000L;
    /** How long a change of the credits may wait to be reported, in nanoseconds. */
    private static final long REPORT_DELAY_NANOS = 250_000_000L;
    /** Time after which a report without a reply counts as lost, in nanoseconds. */
    private static final long REPLY_TIMEOUT_NANOS = 300_000_000L;
    /** Interval at which organisations without requests are forgotten, in nanoseconds. */
    private static final long SWEEP_NANOS = 5_000_000_000L;
    /** Number of former terms that are remembered, so that their late grants are recognised. */
    private static final int MAX_FORMER_TERMS = 16;

    private final long incarnation;
    private final long windowNanos;
    private final long lifetimeNanos;
    private final Map<String, OrganisationAccount> accountByName = new HashMap<>();
    private final Set<String> changed = new LinkedHashSet<>();
    private final Set<String> wanting = new LinkedHashSet<>();
    private final Map<Long, SentReport> sentBySequence = new LinkedHashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::atNanos));
    private final Set<Long> formerTerms = new LinkedHashSet<>();
    private boolean isStarted;
    private long startedNanos;
    private long sweptNanos;
    private long sentNanos;
    private long dueNanos = Long.MAX_VALUE;
    private long term = QuotaReport.NO_TERM;
    private boolean needsWhole;
    private long sequence;
    private long grantSequence;

    /** Creates an account without credits; {@code incarnation} identifies this process. */
    public QuotaAccount(long incarnation, QuotaSettings settings) {
        this(incarnation, settings, QuotaTiming.LIFETIME_NANOS);
    }

    QuotaAccount(long incarnation, QuotaSettings settings, long lifetimeNanos) {
        this.incarnation = incarnation;
        this.lifetimeNanos = lifetimeNanos;
        this.windowNanos = settings.windowMillis() * 1_000_000L;
    }

    /** Records the start of the account; what this router ran before is unknown. */
    public void start(long nowNanos) {
        if (!isStarted) {
            isStarted = true;
            startedNanos = nowNanos;
            sweptNanos = nowNanos;
            sentNanos = nowNanos - MIN_INTERVAL_NANOS;
        }
    }

    /** Records that a request of {@code organisation} arrived; credits are asked for in advance by these. */
    public void recordArrival(String organisation, long nowNanos) {
        account(organisation).recordArrival(nowNanos);
    }

    /** Spends a credit and returns when its block expires; empty if there is none. */
    public OptionalLong trySpend(String organisation, long nowNanos) {
        OrganisationAccount account = account(organisation);
        OptionalLong expiryNanos = account.trySpend(nowNanos);
        if (expiryNanos.isPresent()) {
            recordChange(organisation, nowNanos);
        }
        if (account.wantsPrefetch(nowNanos)) {
            want(organisation, nowNanos, PREFETCH_DELAY_NANOS);
        }
        return expiryNanos;
    }

    /** Returns a credit, whose block expires at {@code expiryNanos}, of a request that certainly did not run. */
    public void giveBack(String organisation, long expiryNanos, long nowNanos) {
        if (expiryNanos - nowNanos > 0) {
            account(organisation).giveBack(expiryNanos, nowNanos);
            expiries.add(new Expiry(expiryNanos, organisation));
            recordChange(organisation, nowNanos);
        }
    }

    /** Records that {@code count} more requests of {@code organisation} wait for a credit; negative for fewer. */
    public void addWaiting(String organisation, int count, long nowNanos) {
        account(organisation).addWaiting(count);
        if (count > 0) {
            want(organisation, nowNanos, 0);
        }
    }

    /** Returns how long the controller said that there are no credits, in milliseconds; 0 if it did not. */
    public long deniedMillis(String organisation, long nowNanos) {
        OrganisationAccount account = accountByName.get(organisation);
        return account == null ? 0 : account.deniedMillis(nowNanos);
    }

    /** Handles a grant and returns the organisations whose waiting requests may go on. */
    public List<String> handle(QuotaGrant grant, long nowNanos) {
        boolean isForThis = grant.incarnation() == incarnation || grant.incarnation() == QuotaGrant.ANY_INCARNATION;
        if (!isForThis || formerTerms.contains(grant.term())) {
            return List.of();
        }
        if (grant.term() != term) {
            startTerm(grant.term());
        }
        if (grant.needsWhole()) {
            needsWhole = true;
            forgetRequests();
            scheduleReport(nowNanos, 0);
            return List.of();
        }
        if (grant.sequence() <= grantSequence) {
            return List.of();
        }
        grantSequence = grant.sequence();
        needsWhole = false;
        SentReport sent = sentBySequence.remove(grant.reportSequence());
        return sent == null ? List.of() : apply(grant, sent, nowNanos);
    }

    private void startTerm(long newTerm) {
        if (term != QuotaReport.NO_TERM) {
            formerTerms.add(term);
            if (formerTerms.size() > MAX_FORMER_TERMS) {
                formerTerms.remove(formerTerms.iterator().next());
            }
        }
        term = newTerm;
        grantSequence = 0;
        forgetRequests();
    }

    private void forgetRequests() {
        sentBySequence.clear();
        accountByName.values().forEach(OrganisationAccount::forgetRequests);
    }

    private List<String> apply(QuotaGrant grant, SentReport sent, long nowNanos) {
        List<String> changedNames = new ArrayList<>();
        long expiryNanos = sent.atNanos() + lifetimeNanos;
        for (QuotaGrant.Share share : grant.shares()) {
            String name = share.organisation();
            OrganisationAccount account = account(name);
            account.applyShare(share, expiryNanos, nowNanos);
            if (share.grantedCount() > 0) {
                expiries.add(new Expiry(expiryNanos, name));
                recordChange(name, nowNanos);
            }
            changedNames.add(name);
        }
        return changedNames;
    }

    /** Asks again for the organisations that still have waiting requests after a grant was applied. */
    public void wantAgain(List<String> names, long nowNanos) {
        names.stream()
                .filter(name -> account(name).isWaiting() && account(name).deniedMillis(nowNanos) == 0)
                .forEach(name -> want(name, nowNanos, 0));
    }

    /**
     * Discards all credits: the monotonic clock did not count the time in which they may have expired.
     *
     * @return how many there were
     */
    public long discardCredits(long nowNanos) {
        long discardedCount = 0;
        for (Map.Entry<String, OrganisationAccount> entry : accountByName.entrySet()) {
            long count = entry.getValue().discardCredits();
            if (count > 0) {
                recordChange(entry.getKey(), nowNanos);
            }
            discardedCount += count;
        }
        forgetRequests();
        return discardedCount;
    }

    /** Discards the credits of an organisation whose allowance was lowered: they were granted by the higher one. */
    public void discardCredits(String organisation, long nowNanos) {
        if (accountByName.containsKey(organisation) && account(organisation).discardCredits() > 0) {
            recordChange(organisation, nowNanos);
        }
    }

    /** Returns the report that is due; empty if none is. */
    public Optional<QuotaReport> takeReport(long nowNanos) {
        start(nowNanos);
        expire(nowNanos);
        if (dueNanos - nowNanos > 0) {
            return Optional.empty();
        }
        dueNanos = Long.MAX_VALUE;
        sentNanos = nowNanos;
        QuotaReport report = createReport(nowNanos);
        forgetReportsWithoutReply(nowNanos);
        sentBySequence.put(sequence, new SentReport(nowNanos, wantedByName(report)));
        if (needsWhole) {
            dueNanos = nowNanos + REPLY_TIMEOUT_NANOS;
        }
        sweep(nowNanos);
        return Optional.of(report);
    }

    private QuotaReport createReport(long nowNanos) {
        sequence++;
        boolean isWhole = needsWhole && term != QuotaReport.NO_TERM;
        Set<String> names = isWhole ? new LinkedHashSet<>(accountByName.keySet()) : changed;
        names.addAll(wanting);
        List<QuotaReport.Usage> usages = names.stream()
                .map(name -> account(name).createUsage(name, isWhole, windowNanos, nowNanos))
                .toList();
        changed.clear();
        wanting.clear();
        return new QuotaReport(
                incarnation, term, sequence, grantSequence, isWhole, (nowNanos - startedNanos) / 1_000_000L, usages);
    }

    private static Map<String, Long> wantedByName(QuotaReport report) {
        Map<String, Long> wantedByName = new HashMap<>();
        report.usages().stream()
                .filter(usage -> usage.wantedCount() > 0)
                .forEach(usage -> wantedByName.put(usage.organisation(), usage.wantedCount()));
        return wantedByName;
    }

    /** Counts the credits of reports without a reply as no longer requested, so that they are requested again. */
    private void forgetReportsWithoutReply(long nowNanos) {
        sentBySequence.values().forEach(sent -> {
            if (nowNanos - sent.atNanos() >= REPLY_TIMEOUT_NANOS) {
                sent.wantedByName().forEach((name, count) -> account(name).forgetRequest(count));
                sent.wantedByName().clear();
            }
        });
        sentBySequence.values().removeIf(sent -> nowNanos - sent.atNanos() >= QuotaTiming.LIFETIME_NANOS);
    }

    /** Returns when {@link #takeReport} is due, by the monotonic clock; {@link Long#MAX_VALUE} for never. */
    public long nextDueNanos() {
        return expiries.isEmpty()
                ? dueNanos
                : Math.min(dueNanos, expiries.peek().atNanos());
    }

    private void expire(long nowNanos) {
        while (!expiries.isEmpty() && expiries.peek().atNanos() - nowNanos <= 0) {
            String name = expiries.poll().organisation();
            if (account(name).expire(nowNanos)) {
                changed.add(name);
                scheduleReport(nowNanos, 0);
            }
        }
    }

    private void recordChange(String organisation, long nowNanos) {
        changed.add(organisation);
        scheduleReport(nowNanos, REPORT_DELAY_NANOS);
    }

    private void want(String organisation, long nowNanos, long delayNanos) {
        wanting.add(organisation);
        scheduleReport(nowNanos, delayNanos);
    }

    private void scheduleReport(long nowNanos, long delayNanos) {
        long earliestNanos = Math.max(nowNanos + delayNanos, sentNanos + MIN_INTERVAL_NANOS);
        dueNanos = Math.min(dueNanos, earliestNanos);
    }

    private OrganisationAccount account(String name) {
        return accountByName.computeIfAbsent(name, key -> new OrganisationAccount());
    }

    private void sweep(long nowNanos) {
        if (nowNanos - sweptNanos >= SWEEP_NANOS) {
            sweptNanos = nowNanos;
            accountByName.values().removeIf(account -> account.isIdle(windowNanos, nowNanos));
        }
    }

    /** Returns how many credits of {@code organisation} this router holds. */
    public long heldCount(String organisation, long nowNanos) {
        OrganisationAccount account = accountByName.get(organisation);
        return account == null ? 0 : account.heldCount(nowNanos);
    }

    /** Returns the age of the oldest credit of {@code organisation}, in milliseconds; 0 if there is none. */
    public long heldAgeMillis(String organisation, long nowNanos) {
        OrganisationAccount account = accountByName.get(organisation);
        return account == null ? 0 : account.heldAgeMillis(lifetimeNanos, nowNanos);
    }

    /** A report that was sent. */
    private record SentReport(long atNanos, Map<String, Long> wantedByName) {}

    /** When credits of an organisation expire. Immutable. */
    private record Expiry(long atNanos, String organisation) {}
}
