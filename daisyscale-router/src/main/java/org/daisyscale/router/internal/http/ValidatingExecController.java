package org.daisyscale.router.internal.http;

import com.google.common.reflect.AbstractInvocationHandler;
import com.google.common.reflect.Reflection;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.StreamSupport;
import ratpack.exec.ExecStarter;
import ratpack.exec.internal.DefaultExecController;

/**
 * The event loops of Ratpack's HTTP clients. Each connection that is opened on them starts its pipeline with a
 * {@link ResponseHeadHandler}: the clients themselves accept no further handlers. Thread-safe.
 */
public final class ValidatingExecController extends DefaultExecController {
    private final List<EventLoop> loops;
    private final AtomicInteger forkCount = new AtomicInteger();

    /** Creates {@code threadCount} event loops. */
    public ValidatingExecController(int threadCount) {
        super(threadCount);
        loops = StreamSupport.stream(getEventLoopGroup().spliterator(), false)
                .map(loop -> Reflection.newProxy(EventLoop.class, new ValidatingLoop((EventLoop) loop)))
                .toList();
    }

    @Override
    public ExecStarter fork() {
        return super.fork().eventLoop(loops.get(Math.floorMod(forkCount.getAndIncrement(), loops.size())));
    }

    /** Passes all calls on to an event loop; adds the handler to each channel that a bootstrap registers. */
    private static final class ValidatingLoop extends AbstractInvocationHandler {
        private final EventLoop loop;

        private ValidatingLoop(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        protected Object handleInvocation(Object proxy, Method method, Object[] arguments) throws Throwable {
            if (method.getName().equals("register") && arguments[0] instanceof Channel channel) {
                channel.pipeline().addFirst(new ResponseHeadHandler());
            }
            try {
                return method.invoke(loop, arguments);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        }
    }
}
