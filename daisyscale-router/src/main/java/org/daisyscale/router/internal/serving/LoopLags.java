package org.daisyscale.router.internal.serving;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Measures the lag of event loops. Thread-safe. */
final class LoopLags {
    private final Map<EventLoop, LoopLag> lagByLoop = new ConcurrentHashMap<>();

    /** Returns the lag of {@code loop}, which is measured from the first call on. */
    LoopLag of(EventLoop loop) {
        return lagByLoop.computeIfAbsent(loop, LoopLag::start);
    }
}
