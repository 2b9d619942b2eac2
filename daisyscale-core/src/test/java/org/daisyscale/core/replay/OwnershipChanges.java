package org.daisyscale.core.replay;

import java.util.Arrays;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/** Counts the keys that change owner from one stored map to the next, and those that return. Not thread-safe. */
final class OwnershipChanges {
    /** A key that returns within this time has moved back and forth, in milliseconds: hot ranges last 5 s. */
    private static final double RETURN_MILLIS = 10_000;

    private final String[] ownerByKey = new String[KeyMap.KEY_COUNT];
    private final String[] leftOwnerByKey = new String[KeyMap.KEY_COUNT];
    private final double[] leftMillisByKey = new double[KeyMap.KEY_COUNT];
    private int moves;
    private int movedKeys;
    private int returnedKeys;

    void record(KeyMap map, double nowMillis) {
        for (KeyAssignment assignment : map.assignments()) {
            int before = movedKeys;
            for (int key = assignment.firstKey(); key <= assignment.lastKey(); key++) {
                record(key, assignment.owner().serverId(), nowMillis);
            }
            moves += movedKeys > before ? 1 : 0;
        }
    }

    private void record(int key, String owner, double nowMillis) {
        if (ownerByKey[key] != null && !ownerByKey[key].equals(owner)) {
            movedKeys++;
            boolean isReturn = owner.equals(leftOwnerByKey[key]) && nowMillis - leftMillisByKey[key] < RETURN_MILLIS;
            returnedKeys += isReturn ? 1 : 0;
            leftOwnerByKey[key] = ownerByKey[key];
            leftMillisByKey[key] = nowMillis;
        }
        ownerByKey[key] = owner;
    }

    /** Forgets what was counted so far, but not the owners. */
    void restartCount() {
        moves = 0;
        movedKeys = 0;
        returnedKeys = 0;
        Arrays.fill(leftOwnerByKey, null);
    }

    /** Returns the number of ranges that changed owner. */
    int moves() {
        return moves;
    }

    /** Returns how often keys changed owner, as a fraction of all keys. */
    double movedRatio() {
        return movedKeys / (double) KeyMap.KEY_COUNT;
    }

    /** Returns how often keys returned to the owner that they had left shortly before, as a fraction of all keys. */
    double returnedRatio() {
        return returnedKeys / (double) KeyMap.KEY_COUNT;
    }
}
