package org.daisyscale.router.internal.serving;

import static java.util.stream.Collectors.joining;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.CoordinationStore.WriteResult;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.StoreDialect;
import org.daisyscale.router.serving.WireCall;
import org.daisyscale.router.serving.WireReply;

/**
 * An HTTP server on loopback whose responses to listings and watches may stall, and the dialect that it speaks. Each
 * connection has its own thread. Thread-safe if the function that creates the responses is.
 */
final class StallingStore implements AutoCloseable {
    private static final String HEAD = "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n";

    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new ArrayList<>();
    private final Function<String, Response> responses;

    /** Starts a store that answers a call to a target with the response that {@code responses} returns for it. */
    StallingStore(Function<String, Response> responses) throws IOException {
        this.responses = responses;
        start(this::acceptConnections);
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "stalling-store");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = register(listener.accept());
                start(() -> answerCalls(socket));
            } catch (IOException e) {
                // The store is closed.
            }
        }
    }

    private synchronized Socket register(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        return socket;
    }

    private void answerCalls(Socket socket) {
        try {
            while (!socket.isClosed()) {
                responses.apply(readTarget(socket)).write(socket.getOutputStream());
            }
        } catch (IOException e) {
            // The router gave up the call, or the store is closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readTarget(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int read = socket.getInputStream().read();
            if (read < 0) {
                throw new IOException("the connection ended");
            }
            head.append((char) read);
        }
        return head.toString().split(" ")[1];
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    /** Returns a response with this status and body after {@code delayMillis}. */
    static Response whole(int status, String body, long delayMillis) {
        return output -> {
            Thread.sleep(delayMillis);
            write(output, HEAD.formatted(status, body.length()) + body);
        };
    }

    /** Returns a response that never begins. */
    static Response unanswered() {
        return output -> new CountDownLatch(1).await();
    }

    /** Returns a response that begins after {@code delayMillis} and stops halfway. */
    static Response stopped(long delayMillis) {
        return output -> {
            Thread.sleep(delayMillis);
            write(output, HEAD.formatted(200, 9) + "half");
            new CountDownLatch(1).await();
        };
    }

    /** Returns a response of which one byte arrives each {@code intervalMillis}. */
    static Response byteByByte(int bytes, long intervalMillis) {
        return output -> {
            write(output, HEAD.formatted(200, bytes));
            for (int count = 0; count < bytes; count++) {
                Thread.sleep(intervalMillis);
                write(output, "x");
            }
        };
    }

    /** Returns the body of a listing, or of one page of it. */
    static String listingBody(long revision, boolean hasMore, Item... items) {
        return revision + " " + hasMore + "\n" + lines(items);
    }

    /** Returns the body of the response to a watch. */
    static String changesBody(long revision, Item... items) {
        return revision + "\n" + lines(items);
    }

    private static String lines(Item... items) {
        return Arrays.stream(items)
                .map(item -> item.key() + " " + item.revision() + " "
                        + new String(item.value(), StandardCharsets.US_ASCII) + "\n")
                .collect(joining());
    }

    /** Writes the response to one call. */
    @FunctionalInterface
    interface Response {

        /** Writes the response; blocks while it stalls. */
        void write(OutputStream output) throws IOException, InterruptedException;
    }

    /** The protocol of this store, which answers only listings and watches. Stateless. */
    static final class Dialect implements StoreDialect {
        private static final int GONE = 410;

        @Override
        public WireCall list(String prefix, String afterKey) {
            return WireCall.of("GET", "/list?after=" + afterKey);
        }

        @Override
        public Page readPage(WireReply reply) {
            String[] lines = lines(reply);
            String[] head = lines[0].split(" ");
            return new Page(new Listing(items(lines), Long.parseLong(head[0])), Boolean.parseBoolean(head[1]));
        }

        @Override
        public WireCall watch(String prefix, long afterRevision, Duration wait) {
            return WireCall.of("GET", "/watch?after=" + afterRevision);
        }

        @Override
        public Optional<Changes> readChanges(WireReply reply) {
            if (reply.status() == GONE) {
                return Optional.empty();
            }
            String[] lines = lines(reply);
            List<ItemChange> changes = items(lines).stream()
                    .map(item -> new ItemChange(item.key(), item.revision(), Optional.of(item)))
                    .toList();
            return Optional.of(new Changes(changes, Long.parseLong(lines[0])));
        }

        private static String[] lines(WireReply reply) {
            return new String(reply.body(), StandardCharsets.US_ASCII).split("\n");
        }

        private static List<Item> items(String[] lines) {
            return Arrays.stream(lines)
                    .skip(1)
                    .map(line -> line.split(" "))
                    .map(parts ->
                            new Item(parts[0], parts[2].getBytes(StandardCharsets.US_ASCII), Long.parseLong(parts[1])))
                    .toList();
        }

        @Override
        public WireCall get(String key) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<Item> readItem(WireReply reply) {
            throw new UnsupportedOperationException();
        }

        @Override
        public WireCall write(Change change) {
            throw new UnsupportedOperationException();
        }

        @Override
        public WriteResult readWriteResult(WireReply reply) {
            throw new UnsupportedOperationException();
        }

        @Override
        public WireCall grantLease(Duration timeToLive) {
            throw new UnsupportedOperationException();
        }

        @Override
        public long readLease(WireReply reply) {
            throw new UnsupportedOperationException();
        }

        @Override
        public WireCall renewLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean readRenewal(WireReply reply) {
            throw new UnsupportedOperationException();
        }

        @Override
        public WireCall endLease(long leaseId) {
            throw new UnsupportedOperationException();
        }
    }
}
