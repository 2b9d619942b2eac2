package org.daisyscale.testkit.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/**
 * Finds ports of 127.0.0.1 that nobody listens on, below those that systems give to outgoing connections, so that
 * nobody gets one by chance. Stateless and safe for use by any thread.
 */
final class FreePorts {
    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;
    private static final int TRIES_PER_PORT = 100;

    private FreePorts() {}

    /** {@code count} different ports that were free a moment ago. */
    static List<Integer> find(int count) {
        List<Integer> ports = new ArrayList<>();
        for (int tried = 0; ports.size() < count && tried < count * TRIES_PER_PORT; tried++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (!ports.contains(port) && isFree(port)) {
                ports.add(port);
            }
        }
        if (ports.size() < count) {
            throw new TestkitException(TestkitErrorCode.LISTEN_FAILED, "no free ports");
        }
        return ports;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
