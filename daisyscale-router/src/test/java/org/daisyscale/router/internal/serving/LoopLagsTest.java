package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LoopLagsTest {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final LoopLags lags = new LoopLags();

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private long lagMillis() {
        return TimeUnit.NANOSECONDS.toMillis(lags.of(loop).lagNanos());
    }

    private long lagMillisAfterWorkOf(long workMillis) throws Exception {
        loop.submit(this::lagMillis).get();
        return loop.submit(() -> {
                    Thread.sleep(workMillis);
                    return lagMillis();
                })
                .get();
    }

    @Test
    void shouldReportTheLagAfterALongTask() throws Exception {
        assertThat(lagMillisAfterWorkOf(900)).isBetween(600L, 900L);
    }

    @Test
    void shouldReportLittleLagAfterAShortTask() throws Exception {
        assertThat(lagMillisAfterWorkOf(20)).isLessThan(100);
    }

    @Test
    void shouldReportTheLagOfTheLastSampleForAMoment() throws Exception {
        lagMillisAfterWorkOf(900);

        assertThat(loop.schedule(this::lagMillis, 50, TimeUnit.MILLISECONDS).get())
                .isGreaterThan(600);
    }

    @Test
    void shouldReportLittleLagOnceTheLoopHasCaughtUp() throws Exception {
        lagMillisAfterWorkOf(900);

        assertThat(loop.schedule(this::lagMillis, 700, TimeUnit.MILLISECONDS).get())
                .isLessThan(300);
    }
}
