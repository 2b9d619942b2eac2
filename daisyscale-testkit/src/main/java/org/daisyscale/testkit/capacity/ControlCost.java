package org.daisyscale.testkit.capacity;

import java.util.Map;

/**
 * What one router spends on control while no request comes. Immutable.
 *
 * @param sentBytesPerSecond bytes sent to peers in a second, with the frames' headers
 * @param gotBytesPerSecond bytes got from peers in a second, with the frames' headers
 * @param sentMessagesPerSecond messages sent to peers in a second
 * @param coreMillisPerSecond the core's time in a second, in milliseconds
 * @param sentBytesByType bytes sent in a second, by the type of message
 * @param platformCalls calls to the platform's service while it was measured
 */
public record ControlCost(
        double sentBytesPerSecond,
        double gotBytesPerSecond,
        double sentMessagesPerSecond,
        double coreMillisPerSecond,
        Map<String, Double> sentBytesByType,
        Map<String, Integer> platformCalls) {}
