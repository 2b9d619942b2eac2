package org.daisyscale.router.internal.serving;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** How far event loops are behind. Safe for use by several threads. */
final class LoopLags {
    private final Map<EventLoop, LoopLag> lagByLoop = new ConcurrentHashMap<>();

    /** The lag of {@code loop}, measured from the first call on. */
    LoopLag of(EventLoop loop) {
        return lagByLoop.computeIfAbsent(loop, LoopLag::start);
    }
}
