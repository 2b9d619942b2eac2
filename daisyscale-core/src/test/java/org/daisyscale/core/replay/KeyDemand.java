package org.daisyscale.core.replay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyMap;

/** The true demand of a replayed load by key, as a fraction of all requests. Immutable. */
final class KeyDemand {
    private final double[] cumulativeByKey = new double[KeyMap.KEY_COUNT + 1];
    private final double largestShare;

    private KeyDemand(double hotFraction, int firstHotKey, int hotKeyCount) {
        for (int key = 0; key < KeyMap.KEY_COUNT; key++) {
            boolean isHot = firstHotKey <= key && key < firstHotKey + hotKeyCount;
            double share = (1 - hotFraction) / KeyMap.KEY_COUNT + (isHot ? hotFraction / hotKeyCount : 0);
            cumulativeByKey[key + 1] = cumulativeByKey[key] + share;
        }
        largestShare = (1 - hotFraction) / KeyMap.KEY_COUNT + hotFraction / hotKeyCount;
    }

    static KeyDemand even() {
        return new KeyDemand(0, 0, 1);
    }

    static KeyDemand hot(double fraction, int firstKey, int keyCount) {
        return new KeyDemand(fraction, firstKey, keyCount);
    }

    int sample(UniformRandomProvider random) {
        int found = Arrays.binarySearch(cumulativeByKey, random.nextDouble());
        return Math.min(KeyMap.KEY_COUNT - 1, found >= 0 ? found : -found - 2);
    }

    /** Returns the share of the busiest key. */
    double largestShare() {
        return largestShare;
    }

    /** Returns the share of the requests that each owner of {@code map} gets; moving ranges count for both owners. */
    Map<String, Double> byOwner(KeyMap map) {
        Map<String, Double> shares = new HashMap<>();
        for (KeyAssignment assignment : map.assignments()) {
            double share = cumulativeByKey[assignment.lastKey() + 1] - cumulativeByKey[assignment.firstKey()];
            shares.merge(assignment.owner().serverId(), share, Double::sum);
            if (!assignment.isSettled()) {
                assignment.predecessors().stream()
                        .filter(owner -> !owner.equals(assignment.owner()))
                        .forEach(owner -> shares.merge(owner.serverId(), share, Double::sum));
            }
        }
        return shares;
    }
}
