import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A consumer that sends one request at a time on a connection that it keeps open. */
final class Consumer implements AutoCloseable {
    private static final AtomicLong LAST = new AtomicLong();

    private final String ip;
    private final int port;
    private Socket socket;
    private InputStream in;

    Consumer(String ip, int port) {
        this.ip = ip;
        this.port = port;
    }

    static String newAttempt() {
        return "%016x".formatted(0x9c41_0000_0000L + LAST.incrementAndGet());
    }

    boolean isOpen() {
        return socket != null;
    }

    void open() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
        }
    }

    OutputStream out() throws IOException {
        return socket.getOutputStream();
    }

    void send(String method, String path, String attempt, int timeoutMillis, Map<String, String> more, byte[] body)
            throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "a.example");
        headers.put("X-Attempt-Id", attempt);
        headers.put("X-Timeout-Remaining-Ms", Integer.toString(timeoutMillis));
        headers.putAll(more);
        Http.write(out(), method + " " + path + " HTTP/1.1", headers, body);
    }

    /** Returns the next response, or null if the connection ended before it. */
    Http.Message receive(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        Http.Message answer = Http.read(in);
        if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
            close();
        }
        return answer;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
        socket = null;
    }
}
