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

    private long behindMillis() {
        return TimeUnit.NANOSECONDS.toMillis(lags.of(loop).behindNanos());
    }

    private long behindMillisAfterWorkOf(long workMillis) throws Exception {
        loop.submit(this::behindMillis).get();
        return loop.submit(() -> {
                    Thread.sleep(workMillis);
                    return behindMillis();
                })
                .get();
    }

    @Test
    void shouldCallALoopBehindThatHadLongWorkBeforeIt() throws Exception {
        assertThat(behindMillisAfterWorkOf(900)).isBetween(600L, 900L);
    }

    @Test
    void shouldNotCallALoopBehindThatHadShortWork() throws Exception {
        assertThat(behindMillisAfterWorkOf(20)).isLessThan(100);
    }

    @Test
    void shouldRememberForAMomentThatALoopWasBehind() throws Exception {
        behindMillisAfterWorkOf(900);

        assertThat(loop.schedule(this::behindMillis, 50, TimeUnit.MILLISECONDS).get())
                .isGreaterThan(600);
    }

    @Test
    void shouldForgetThatALoopWasBehindOnceItHasCaughtUp() throws Exception {
        behindMillisAfterWorkOf(900);

        assertThat(loop.schedule(this::behindMillis, 700, TimeUnit.MILLISECONDS).get())
                .isLessThan(300);
    }
}
