package org.daisyscale.testkit.platform;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.daisyscale.testkit.duty.Duty;
import org.daisyscale.testkit.http.HttpCall;
import org.daisyscale.testkit.http.HttpListener;
import org.daisyscale.testkit.http.HttpReply;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Stands in for the platform's key-value service (a part of the etcd v3 JSON gateway) and its list of VMs, with
 * switches for faults. Keeps all in memory. Safe for use by several threads.
 *
 * <p>A full ring answers 503 and nothing took effect.
 *
 * <pre>{@code
 * try (PlatformStandIn platform = PlatformStandIn.start("127.0.0.1", 0)) {
 *     String url = platform.url();
 * }
 * }</pre>
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final int RING_CAPACITY = 16_384;

    private final NioEventLoopGroup loops;
    private final Duty<PlatformWork.Event> duty;
    private final HttpListener listener;

    private PlatformStandIn(String host, int port) {
        this.loops = new NioEventLoopGroup(1);
        this.duty = Duty.start("platform", RING_CAPACITY, new PlatformWork());
        this.listener = HttpListener.start(loops, host, port, this::handOver);
    }

    /**
     * Starts on {@code host} and {@code port}; port 0 takes a free one.
     *
     * @throws org.daisyscale.testkit.error.TestkitException when the address can't be listened on
     */
    public static PlatformStandIn start(String host, int port) {
        return new PlatformStandIn(host, port);
    }

    private void handOver(HttpCall call) {
        if (!duty.offer(new PlatformWork.Event.Called(call))) {
            call.answer(HttpReply.empty(503));
            return;
        }
        if (call.path().equals("/v3/watch")) {
            call.whenGone(() -> duty.offer(new PlatformWork.Event.WatchGone(call)));
        }
    }

    /** The base address of its HTTP. */
    public String url() {
        return "http://127.0.0.1:" + listener.port();
    }

    @Override
    public void close() {
        listener.close();
        duty.close();
        loops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }

    /** Runs the stand-in until its process is ended. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Program()).execute(arguments));
    }

    @Command(name = "standin-platform", mixinStandardHelpOptions = true)
    private static final class Program implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(names = "--host", defaultValue = "127.0.0.1", description = "The address to listen on.")
        private String host;

        @Option(names = "--port", defaultValue = "2379", description = "The port; 0 for a free one.")
        private int port;

        @Override
        public Integer call() throws InterruptedException {
            try (PlatformStandIn platform = start(host, port)) {
                spec.commandLine().getOut().println("listening " + platform.url());
                spec.commandLine().getOut().flush();
                new CountDownLatch(1).await();
            }
            return 0;
        }
    }
}
