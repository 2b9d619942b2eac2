package org.daisyscale.core.ownership;

import java.util.List;

/**
 * The seats: the routers whose majority confirms the newest map. While a change of seats is unconfirmed, a majority of
 * both the current and the previous seats is required. Immutable.
 *
 * @param current the seats in force
 * @param previous the seats before an unconfirmed change; empty if there is none
 */
public record Seats(List<String> current, List<String> previous) {

    public Seats {
        current = List.copyOf(current);
        previous = List.copyOf(previous);
    }

    /** Returns an instance without seats, under which no router has authority. */
    public static Seats none() {
        return new Seats(List.of(), List.of());
    }
}
