package org.daisyscale.core.internal.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.internal.ownership.Witness;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.Seats;

/**
 * Changes the seats by one router at a time, and only after a majority of both the current and the previous seats has
 * confirmed the last change. Not thread-safe; confined to the core thread.
 */
final class SeatStep implements PlanStep {
    static final int MAX_SEATS = 15;
    private static final long SEAT_SILENCE_LIMIT_MILLIS = 5_000;

    private final String routerId;
    private final Roster roster;
    private final Witness witness;

    SeatStep(String routerId, Roster roster, Witness witness) {
        this.routerId = routerId;
        this.roster = roster;
        this.witness = witness;
    }

    @Override
    public OwnershipMap plan(OwnershipMap map, Moment now) {
        Seats seats = map.seats();
        if (seats.current().isEmpty()) {
            return MapEdits.withSeats(map, new Seats(List.of(routerId), List.of()));
        }
        if (!witness.isConfirmed(map.version(), now)) {
            return map;
        }
        Seats next = nextSeats(seats.current(), now);
        return next.equals(seats) ? map : MapEdits.withSeats(map, next);
    }

    private Seats nextSeats(List<String> current, Moment now) {
        Optional<String> lost =
                current.stream().filter(seat -> mustLoseSeat(seat, now)).findFirst();
        if (lost.isPresent() && current.size() > 1) {
            List<String> withoutLost = new ArrayList<>(current);
            withoutLost.remove(lost.get());
            return new Seats(withoutLost, current);
        }
        Optional<String> joining = findJoiningRouter(current, now);
        if (joining.isPresent()) {
            List<String> withJoining = new ArrayList<>(current);
            withJoining.add(joining.get());
            return new Seats(withJoining, current);
        }
        return new Seats(current, List.of());
    }

    private boolean mustLoseSeat(String seat, Moment now) {
        return witness.isStopping(seat)
                || roster.isDeregistered(seat, now)
                || (!witness.isHeard(seat, now) && witness.silentMillis(seat, now) > SEAT_SILENCE_LIMIT_MILLIS);
    }

    private Optional<String> findJoiningRouter(List<String> current, Moment now) {
        if (current.size() >= MAX_SEATS) {
            return Optional.empty();
        }
        return roster.peers().stream()
                .filter(router -> !current.contains(router))
                .filter(router -> witness.isHeard(router, now) && !witness.isStopping(router))
                .findFirst();
    }
}
