package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.quota.QuotaAccount;
import org.daisyscale.core.quota.QuotaGrant;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.Organisation;
import org.daisyscale.core.serving.OrganisationTable;
import org.daisyscale.core.serving.ServingAction;

/**
 * Lets requests of organisations with an allowance run only on a credit. Requests of others pass without any cost.
 *
 * <p>Invariant: each attempt that may run has spent a credit or a request of the local reserve; a credit is returned at
 * most once, and only if the attempt certainly did not run.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class AllowanceGate {
    /** Maximum wait for the controller's reply, as a fraction of the latency objective. */
    private static final double MAX_WAIT_FRACTION = 0.125;
    /**
     * Retry-after advice while the controller does not reply, in milliseconds: by then a reply that was lost has been
     * asked for again.
     */
    private static final long UNCERTAIN_RETRY_AFTER_MILLIS = 500;

    private final QuotaAccount account;
    private final LocalReserve reserve;
    private final AllowanceCounters counters;
    private OrganisationTable organisations = OrganisationTable.NONE;
    private final Map<String, Set<Long>> waitingByOrganisation = new HashMap<>();
    private final Map<Long, Long> waitUntilNanosByRequest = new HashMap<>();

    AllowanceGate(FleetView fleet) {
        this.account =
                new QuotaAccount(fleet.settings().randomSeed(), fleet.settings().quota());
        this.reserve = new LocalReserve(fleet);
        this.counters = new AllowanceCounters(account);
    }

    /** Replaces the organisations; credits of those whose allowance was lowered are discarded. */
    void handleOrganisations(OrganisationTable newer, long nowNanos) {
        newer.byName().forEach((name, organisation) -> {
            Organisation older = organisations.byName().get(name);
            if (older != null && organisation.allowance().isLowerThan(older.allowance())) {
                account.discardCredits(name, nowNanos);
            }
        });
        organisations = newer;
    }

    private static Optional<String> limitedName(OpenRequest request) {
        return request.organisation()
                .filter(organisation -> organisation.allowance().isLimited())
                .map(Organisation::name);
    }

    /** Spends what the next attempt needs; returns what happens to the request instead if there is nothing. */
    Optional<Placement> admit(OpenRequest request, long nowNanos) {
        request.setCredit(OptionalLong.empty());
        return limitedName(request).flatMap(name -> {
            Optional<Placement> refusal = admit(request, name, nowNanos);
            if (refusal.isPresent() && refusal.get() instanceof Placement.Reject rejection) {
                counters.recordRefused(name, rejection.reason());
            }
            return refusal;
        });
    }

    private Optional<Placement> admit(OpenRequest request, String name, long nowNanos) {
        if (request.attemptCount() == 0 && !isWaiting(request)) {
            account.recordArrival(name, nowNanos);
            counters.recordReceived(name, nowNanos);
        }
        OptionalLong creditExpiryNanos = account.trySpend(name, nowNanos);
        if (creditExpiryNanos.isPresent()) {
            request.setCredit(creditExpiryNanos);
            forget(request);
            return Optional.empty();
        }
        return request.mayHaveRun()
                ? Optional.of(exceeded("no credit for a repetition", 0))
                : waitOrRefuse(request, name, nowNanos);
    }

    private boolean isWaiting(OpenRequest request) {
        return waitUntilNanosByRequest.containsKey(request.requestId());
    }

    private Optional<Placement> waitOrRefuse(OpenRequest request, String name, long nowNanos) {
        long deniedMillis = account.deniedMillis(name, nowNanos);
        if (deniedMillis > 0) {
            return Optional.of(exceeded("organisation=" + name, deniedMillis));
        }
        long untilNanos = waitUntilNanos(request, name, nowNanos);
        if (untilNanos - nowNanos > 0) {
            return Optional.of(
                    new Placement.Wait(untilNanos, CoreErrorCode.ALLOWANCE_UNCERTAIN, UNCERTAIN_RETRY_AFTER_MILLIS));
        }
        forget(request);
        return reserve.tryUse(name, nowNanos)
                ? Optional.empty()
                : Optional.of(new Placement.Reject(
                        CoreErrorCode.ALLOWANCE_UNCERTAIN,
                        "organisation=" + name + " waitedMillis=" + request.ageMillis(nowNanos),
                        UNCERTAIN_RETRY_AFTER_MILLIS));
    }

    private static Placement exceeded(String detail, long retryAfterMillis) {
        return new Placement.Reject(CoreErrorCode.ALLOWANCE_EXCEEDED, detail, retryAfterMillis);
    }

    /** Returns until when the request waits for a credit; one that did not wait yet starts to. */
    private long waitUntilNanos(OpenRequest request, String name, long nowNanos) {
        if (!isWaiting(request)) {
            long waitNanos = (long) (request.route().targetLatencyMillis() * MAX_WAIT_FRACTION * 1e6);
            waitUntilNanosByRequest.put(request.requestId(), nowNanos + waitNanos);
            waitingByOrganisation
                    .computeIfAbsent(name, key -> new LinkedHashSet<>())
                    .add(request.requestId());
            account.addWaiting(name, 1, nowNanos);
        }
        return waitUntilNanosByRequest.get(request.requestId());
    }

    /** Records that the request no longer waits for a credit. */
    void forget(OpenRequest request) {
        if (waitUntilNanosByRequest.remove(request.requestId()) == null) {
            return;
        }
        request.organisation().map(Organisation::name).ifPresent(name -> {
            Set<Long> waiting = waitingByOrganisation.get(name);
            waiting.remove(request.requestId());
            if (waiting.isEmpty()) {
                waitingByOrganisation.remove(name);
            }
            account.addWaiting(name, -1, 0);
        });
    }

    /** Records that the response to the request is delivered. */
    void recordServed(OpenRequest request) {
        limitedName(request).ifPresent(counters::recordServed);
    }

    /** Returns the credit of an attempt that certainly did not run. */
    void recordEnd(OpenRequest request, AttemptOutcome outcome, long nowNanos) {
        if (!outcome.mayHaveRun()) {
            limitedName(request)
                    .ifPresent(name -> request.creditExpiryNanos()
                            .ifPresent(expiryNanos -> account.giveBack(name, expiryNanos, nowNanos)));
        }
        request.setCredit(OptionalLong.empty());
    }

    /** Returns whether there is a credit for one more attempt, which one that may have run needs at once. */
    boolean mayRepeat(OpenRequest request, long nowNanos) {
        return !request.mayHaveRun()
                || limitedName(request)
                        .map(name -> account.heldCount(name, nowNanos) > 0)
                        .orElse(true);
    }

    /** Handles a grant and returns the requests to place again, by arrival. */
    List<Long> handle(QuotaGrant grant, long nowNanos) {
        List<Long> requestIds = new ArrayList<>();
        account.handle(grant, nowNanos)
                .forEach(name -> requestIds.addAll(waitingByOrganisation.getOrDefault(name, Set.of())));
        return requestIds;
    }

    /** Asks again for the requests that {@code grant} did not suffice for. */
    void requestMissing(QuotaGrant grant, long nowNanos) {
        account.wantAgain(
                grant.shares().stream().map(QuotaGrant.Share::organisation).toList(), nowNanos);
    }

    /** Discards all credits: they may have expired while the VM was suspended. */
    ServingAction.Report handleSuspension(long nowNanos) {
        long count = account.discardCredits(nowNanos);
        return new ServingAction.Report("credits-discarded", "the VM was suspended; credits=" + count);
    }

    /** Returns the report to the controller and the counts that are due. */
    List<ServingAction> takeDue(long nowNanos) {
        List<ServingAction> due = new ArrayList<>();
        account.takeReport(nowNanos).map(ServingAction.ReportQuota::new).ifPresent(due::add);
        counters.takeDue(nowNanos).map(ServingAction.PublishCounts::new).ifPresent(due::add);
        return due;
    }

    /** Returns when {@link #takeDue} is due, by the monotonic clock; {@link Long#MAX_VALUE} for never. */
    long nextDueNanos() {
        return Math.min(account.nextDueNanos(), counters.nextDueNanos());
    }
}
