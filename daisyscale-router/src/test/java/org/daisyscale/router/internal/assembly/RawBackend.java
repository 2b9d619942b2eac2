package org.daisyscale.router.internal.assembly;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/** Answers each request with scripted bytes and records the requests; bodies are ASCII. Thread-safe. */
public final class RawBackend implements AutoCloseable {
    /** The scripted answer that closes the connection without sending a byte. */
    public static final String HANG_UP = "";

    private final ServerSocket listener;
    private final UnaryOperator<String> answerByOrderId;
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final List<String> requestHeads = new CopyOnWriteArrayList<>();

    public RawBackend(UnaryOperator<String> answerByOrderId) throws IOException {
        this.answerByOrderId = answerByOrderId;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    public int connectionCount() {
        return connectionCount.get();
    }

    public List<String> requestHeads() {
        return requestHeads;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connectionCount.incrementAndGet();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has closed the listener.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            List<String> head = readHead(reader);
            while (!head.isEmpty()) {
                requestHeads.add(String.join("\n", head) + "\n\n" + readBody(reader, head));
                String answer = answerByOrderId.apply(orderId(head));
                if (answer.equals(HANG_UP)) {
                    return;
                }
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                if (answer.contains("connection: close")) {
                    return;
                }
                head = readHead(reader);
            }
        } catch (IOException e) {
            // The router closed the connection.
        }
    }

    private static List<String> readHead(BufferedReader reader) throws IOException {
        List<String> head = new ArrayList<>();
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            head.add(line);
            line = reader.readLine();
        }
        return head;
    }

    private static String readBody(BufferedReader reader, List<String> head) throws IOException {
        String length = header(head, "content-length");
        char[] body = new char[length.isEmpty() ? 0 : Integer.parseInt(length)];
        int readCount = 0;
        while (readCount < body.length) {
            readCount += reader.read(body, readCount, body.length - readCount);
        }
        return new String(body);
    }

    private static String orderId(List<String> head) {
        return header(head, "daisyscale-order-id");
    }

    private static String header(List<String> head, String name) {
        return head.stream()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(line.indexOf(':') + 1).strip())
                .findFirst()
                .orElse("");
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "raw-backend");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
