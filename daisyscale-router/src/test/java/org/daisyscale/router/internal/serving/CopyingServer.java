package org.daisyscale.router.internal.serving;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that refuses a share of the requests, each id at most once, and sends a share of its responses a second
 * time, up to two seconds later. Thread-safe.
 */
final class CopyingServer implements AutoCloseable {
    private static final String RESPONSE = "HTTP/1.1 %s\r\nId: %s\r\nContent-Length: 0\r\n\r\n";
    private static final String ID = "id: ";
    private static final long MAX_COPY_DELAY_MILLIS = 2_000;
    private static final long SEED = 46;

    private final double refusedShare;
    private final double copiedShare;
    private final Random random = new Random(SEED);
    private final ServerSocket listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    private final ScheduledExecutorService copier = Executors.newSingleThreadScheduledExecutor();
    private final Set<String> refusedIds = ConcurrentHashMap.newKeySet();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();

    CopyingServer(double refusedShare, double copiedShare) throws IOException {
        this.refusedShare = refusedShare;
        this.copiedShare = copiedShare;
        startDaemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    int connections() {
        return connections.get();
    }

    int refusals() {
        return refusedIds.size();
    }

    int copies() {
        return copies.get();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                connections.incrementAndGet();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            String id = readId(input);
            while (!id.isEmpty()) {
                boolean isRefused = isChosen(refusedShare) && refusedIds.add(id);
                String response = RESPONSE.formatted(isRefused ? "421 Misdirected" : "200 OK", id);
                write(socket, response);
                if (isChosen(copiedShare)) {
                    copier.schedule(() -> copy(socket, response), copyDelayMillis(), TimeUnit.MILLISECONDS);
                }
                id = readId(input);
            }
        } catch (IOException | RejectedExecutionException e) {
            // The connection or the server was closed.
        }
        sockets.remove(socket);
    }

    private boolean isChosen(double share) {
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    private long copyDelayMillis() {
        synchronized (random) {
            return random.nextLong(MAX_COPY_DELAY_MILLIS);
        }
    }

    private void copy(Socket socket, String response) {
        try {
            write(socket, response);
            copies.incrementAndGet();
        } catch (IOException e) {
            // The connection was closed before the copy was due.
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
        }
    }

    /** Reads the head of a request; returns its id, or an empty text at the end of the connection. */
    private static String readId(InputStream input) throws IOException {
        String id = "";
        String line = readLine(input);
        while (!line.isEmpty()) {
            if (line.regionMatches(true, 0, ID, 0, ID.length())) {
                id = line.substring(ID.length());
            }
            line = readLine(input);
        }
        return id;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = input.read();
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        copier.shutdownNow();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
