package org.daisyscale.testkit.backend;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one or several backend server stand-ins in a process until it is ended. Used by one thread. */
@Command(name = "standin-backend", mixinStandardHelpOptions = true)
public final class BackendServerProgram implements Callable<Integer> {
    private static final int EVENT_LOOPS = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--server", defaultValue = "server", description = "The VM's id; with --count a prefix of it.")
    private String server;

    @Option(names = "--host", defaultValue = "127.0.0.1", description = "The address to listen on.")
    private String host;

    @Option(names = "--port", defaultValue = "9000", description = "The first port; 0 for free ones.")
    private int port;

    @Option(names = "--count", defaultValue = "1", description = "How many servers, on ports that follow.")
    private int count;

    @Option(names = "--slots", defaultValue = "3", description = "The requests that a server runs at once.")
    private int slotCount;

    @Option(names = "--service", description = "PATHPREFIX=MILLIS[:exponential]; may be repeated.")
    private List<String> serviceTimes = new ArrayList<>();

    @Option(names = "--cold-requests", defaultValue = "0", description = "The requests until the server is warm.")
    private int coldRequests;

    @Option(names = "--cold-slots", defaultValue = "1", description = "The requests that it bears at once while cold.")
    private int coldSlots;

    @Option(names = "--cold-factor", defaultValue = "5", description = "How much slower it is while cold.")
    private double coldFactor;

    @Option(names = "--down-millis", defaultValue = "2000", description = "How long it is down after falling over.")
    private long downMillis;

    @Option(names = "--straggler-percent", defaultValue = "0", description = "The chance of a slow window.")
    private double stragglerPercent;

    @Option(names = "--straggler-window-millis", defaultValue = "2000", description = "The length of a window.")
    private long stragglerWindowMillis;

    @Option(names = "--straggler-factor", defaultValue = "10", description = "How much slower a slow window is.")
    private double stragglerFactor;

    @Option(names = "--seed", defaultValue = "1", description = "The seed; server n takes seed + n.")
    private long seed;

    @Option(names = "--checks-orders", arity = "1", defaultValue = "true", description = "Whether it checks grants.")
    private boolean checksOrders;

    @Option(names = "--report-lag-millis", defaultValue = "0", description = "How old its reported load may be.")
    private long reportLagMillis;

    @Option(names = "--clock-offset-millis", defaultValue = "0", description = "How far its clock is ahead.")
    private long clockOffsetMillis;

    @Option(names = "--record-file", description = "Where runs are recorded; server n > 0 appends .n to the name.")
    private Path recordFile;

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BackendServerProgram()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        NioEventLoopGroup loops = new NioEventLoopGroup(EVENT_LOOPS);
        for (int index = 0; index < count; index++) {
            start(loops, index);
        }
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return 0;
    }

    private void start(NioEventLoopGroup loops, int index) {
        int chosenPort = port == 0 ? 0 : port + index;
        var address = new BackendServerStandIn.Address(host, chosenPort, clockOffsetMillis);
        var started = BackendServerStandIn.start(loops, address, settings(index), recordFile(index));
        spec.commandLine().getOut().println("listening http://" + host + ":" + started.port());
    }

    private Optional<Path> recordFile(int index) {
        return Optional.ofNullable(recordFile)
                .map(path -> index == 0 ? path : path.resolveSibling(path.getFileName() + "." + index));
    }

    private BackendSettings settings(int index) {
        return new BackendSettings(
                count == 1 ? server : server + "-" + index,
                slotCount,
                serviceTimes.stream().map(ServiceTimeRule::parse).toList(),
                new ColdSettings(coldRequests, coldSlots, coldFactor, downMillis),
                new StragglerSettings(stragglerPercent, stragglerWindowMillis, stragglerFactor),
                seed + index,
                checksOrders,
                reportLagMillis);
    }
}
