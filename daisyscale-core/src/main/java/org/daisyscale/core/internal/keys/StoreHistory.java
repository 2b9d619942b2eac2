package org.daisyscale.core.internal.keys;

/**
 * What the controller of the keys knows about the restores of the store from an older copy. Immutable.
 *
 * @param era the era of the store; 0 if the store has none
 * @param wasRestored whether the store was restored while this process ran
 */
record StoreHistory(long era, boolean wasRestored) {
    static final StoreHistory NONE = new StoreHistory(0, false);

    StoreHistory inEra(long newEra) {
        return newEra <= era ? this : new StoreHistory(newEra, wasRestored);
    }
}
