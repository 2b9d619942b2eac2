import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The HTTP/1.1 messages of the stand-ins, over plain sockets. */
final class Http {
    private Http() {}

    /** A request or response: its start line, its headers by lower-case name, and its body. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a whole message; returns null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = headers(in);
        boolean isBodyless = startLine.startsWith("HTTP/1.1 204") || startLine.startsWith("HTTP/1.1 304");
        byte[] body = isBodyless ? new byte[0] : body(in, headers);
        return new Message(startLine, headers, body);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip().toLowerCase(), line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (!headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = Integer.parseInt(line(in), 16);
        while (size > 0) {
            body.write(exactly(in, size));
            line(in);
            size = Integer.parseInt(line(in), 16);
        }
        headers(in);
        return body.toByteArray();
    }

    static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended within a line: " + line);
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    static void write(OutputStream out, String startLine, List<String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach(header -> head.append(header).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** Serves one connection. */
    interface ConnectionHandler {
        void serve(Socket socket) throws Exception;
    }

    /** Accepts connections at {@code host} and a free port, each on a thread of its own. */
    static ServerSocket listen(String host, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 1_024, InetAddress.getByName(host));
        start("accept", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                start("connection", () -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        handler.serve(socket);
                    }
                });
            }
        });
        return server;
    }

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    /** Runs {@code task} on a daemon thread; an exception ends it. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The connection or the stand-in has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
