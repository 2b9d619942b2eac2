package org.daisyscale.cli.internal.burn;

/**
 * The burn of one kind over one window. Immutable.
 *
 * @param window the window's name, such as {@code 1h}
 * @param isKnown whether the samples cover the window; the other figures are zero if they don't
 * @param goodCount the good requests in the window
 * @param badCount the bad requests in the window
 * @param burnRate the ratio of the bad requests to those that the objective allows; 1 uses up the budget exactly
 */
public record WindowBurn(String window, boolean isKnown, double goodCount, double badCount, double burnRate) {

    /** Returns the burn over a window that the samples don't cover. */
    static WindowBurn unknown(String window) {
        return new WindowBurn(window, false, 0, 0, 0);
    }
}
