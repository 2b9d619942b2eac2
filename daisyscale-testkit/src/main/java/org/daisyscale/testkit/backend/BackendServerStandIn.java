package org.daisyscale.testkit.backend;

import io.netty.channel.EventLoopGroup;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.daisyscale.testkit.duty.Duty;
import org.daisyscale.testkit.http.HttpCall;
import org.daisyscale.testkit.http.HttpListener;
import org.daisyscale.testkit.http.HttpReply;

/**
 * Stands in for a backend server: keeps docs/BACKEND-CONTRACT.md, sheds what goes over its slots, and records each
 * request that it ran. Safe for use by several threads.
 *
 * <p>A full ring answers 503 with {@code Daisyscale-Not-Run: shed} and nothing ran.
 *
 * <pre>{@code
 * try (var loops = ...; var server = BackendServerStandIn.start(loops, "127.0.0.1", 0, settings, Optional.empty())) {
 *     int port = server.port();
 * }
 * }</pre>
 */
public final class BackendServerStandIn implements AutoCloseable {
    private static final int RING_CAPACITY = 16_384;
    private static final int HALT_STATUS = 70;

    private final RecordBook records;
    private final Duty<BackendWork.Arrival> duty;
    private final HttpListener listener;

    private BackendServerStandIn(EventLoopGroup loops, Address address, BackendSettings settings, RecordBook records) {
        Runnable crash = () -> Runtime.getRuntime().halt(HALT_STATUS);
        this.records = records;
        this.duty = Duty.start(
                settings.server(),
                RING_CAPACITY,
                new BackendWork(settings, records, address.clockOffsetMillis(), crash));
        this.listener = HttpListener.start(loops, address.host(), address.port(), this::handOver);
    }

    /**
     * Starts a server.
     *
     * @param recordFile where each run is recorded too, if anywhere
     * @throws org.daisyscale.testkit.error.TestkitException when the address or the file can't be used
     */
    public static BackendServerStandIn start(
            EventLoopGroup loops, Address address, BackendSettings settings, Optional<Path> recordFile) {
        return new BackendServerStandIn(loops, address, settings, RecordBook.open(recordFile));
    }

    /** The runs that a server, perhaps a killed one, recorded in {@code recordFile}. */
    public static List<RunRecord> recordsIn(Path recordFile) {
        return RecordBook.read(recordFile);
    }

    private void handOver(HttpCall call) {
        if (!duty.offer(new BackendWork.Arrival(call, Order.of(call)))) {
            var headers = java.util.Map.of(
                    "Daisyscale-Not-Run", "shed", "Daisyscale-Order-Id", call.header("Daisyscale-Order-Id"));
            call.answer(HttpReply.text(503, headers, "shed"));
        }
    }

    /** The port listened on. */
    public int port() {
        return listener.port();
    }

    @Override
    public void close() {
        listener.close();
        duty.close();
        records.close();
    }

    /**
     * Where a server listens, and its clock.
     *
     * @param host the IP number
     * @param port the port; 0 for a free one
     * @param clockOffsetMillis how far its clock is ahead of the machine's, in milliseconds
     */
    public record Address(String host, int port, long clockOffsetMillis) {}
}
