import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and message reader on blocking sockets. */
final class Http {
    private Http() {}

    /** A request or a response; {@code first} is its first line. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A response; with {@code isSilent} the connection stays open and returns nothing further. */
    record Reply(int status, Map<String, String> headers, byte[] body, boolean isSilent) {
        static Reply of(int status, String body) {
            return new Reply(status, new LinkedHashMap<>(), body.getBytes(StandardCharsets.UTF_8), false);
        }

        static Reply silent() {
            return new Reply(0, Map.of(), new byte[0], true);
        }

        Reply with(String name, String value) {
            headers.put(name, value);
            return this;
        }
    }

    interface Handler {
        Reply handle(Message request) throws Exception;
    }

    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            return new Message(first, headers, chunks(in));
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body ended early");
        }
        return new Message(first, headers, body);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
            body.write(in.readNBytes(size));
            line(in);
        }
        line(in);
        return body.toByteArray();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
        System.arraycopy(body, 0, whole, headBytes.length, body.length);
        out.write(whole);
        out.flush();
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Listens on {@code host} and a free port, with one thread a connection. */
    static final class Server {
        private final ServerSocket listener = new ServerSocket();
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(String host, Handler handler) throws IOException {
            this(host, 0, handler);
        }

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(host, port), 1024);
            daemon("accept", this::accept);
        }

        /** Ends as a crashed process does: the port is closed and all connections are reset. */
        void crash() {
            try {
                listener.close();
                for (Socket socket : sockets) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (IOException e) {
                // The socket was closed before.
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    daemon("connection", () -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            sockets.add(socket);
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                for (Message request = read(in); request != null; request = read(in)) {
                    Reply reply = handler.handle(request);
                    if (reply.isSilent()) {
                        while (in.read() >= 0) {
                            // The connection returns nothing further.
                        }
                        return;
                    }
                    write(socket.getOutputStream(), "HTTP/1.1 " + reply.status() + " X", reply.headers(), reply.body());
                }
            } catch (Exception e) {
                // The other side closed the connection.
            } finally {
                sockets.remove(socket);
            }
        }
    }
}
