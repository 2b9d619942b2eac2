import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A burst of chunked uploads: do other consumers of the machine still get an answer in time? */
final class Case7 {
    private static final int USUAL_UPLOADERS = 24;
    private static final double BURST_FACTOR = 2.5;
    private static final double BURST_SECONDS = 5;
    private static final int READERS = 20;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final int UPLOAD_CHUNKS = 44;
    /** Pause after each chunk, so that an upload takes two seconds. */
    private static final long CHUNK_MILLIS = 44;

    private static final double ROUTE_TIMEOUT_SECONDS = 0.8;
    private static final int READ_LIMIT_MILLIS = 1_500;
    private static final int UPLOAD_LIMIT_MILLIS = 4_000;
    private static final double ALLOWED_SECONDS = 0.5;
    private static final int MIN_LATE = 8;

    /** One read: when it was sent, and how long its answer took; infinite without an answer. */
    private record Read(String id, double seconds, int status) {}

    private final Fleet fleet;
    private final Router router;
    private final List<Read> reads = Collections.synchronizedList(new ArrayList<>());
    private volatile boolean isOver;

    private Case7(Fleet fleet) throws Exception {
        this.fleet = fleet;
        fleet.configure(
                1,
                List.of(
                        Fleet.route("photos", "/photos/", "upload", 3, 1, "archive", 2),
                        Fleet.route("stock", "/stock/", "idempotent", ROUTE_TIMEOUT_SECONDS, 0.4, "status", 2)),
                List.of(Fleet.service("archive", false), Fleet.service("status", false)));
        for (int index = 0; index < 4; index++) {
            fleet.addBackend("archive-" + index, "archive", "za", false);
        }
        for (int index = 0; index < 8; index++) {
            fleet.addBackend("status-" + index, "status", "za", false);
        }
        router = fleet.addRouter("edge-1", "127.0.0.1", "za");
    }

    private void read(int reader) throws Exception {
        int count = 0;
        while (!isOver) {
            try (Socket socket = router.connect()) {
                socket.setSoTimeout(READ_LIMIT_MILLIS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean isOpen = true;
                while (!isOver && isOpen) {
                    isOpen = readOnce(socket, in, "read-%d-%d".formatted(reader, ++count));
                    Thread.sleep(150);
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
    }

    private boolean readOnce(Socket socket, InputStream in, String id) {
        long sentNanos = System.nanoTime();
        int status = 0;
        try {
            socket.getOutputStream()
                    .write(("GET /stock/ms-100 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Timeout-Remaining-Ms: " + READ_LIMIT_MILLIS + "\r\n\r\n")
                            .getBytes());
            Http.Message answer = Http.read(in);
            status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            fleet.note("%s: %s", id, e);
        }
        double seconds = status == 0 ? Double.POSITIVE_INFINITY : (System.nanoTime() - sentNanos) / 1e9;
        reads.add(new Read(id, seconds, status));
        if (seconds > ROUTE_TIMEOUT_SECONDS) {
            fleet.note("%s: status %d after %.3f s", id, status, seconds);
        }
        return status != 0;
    }

    private void upload(int uploader, double untilSeconds) throws Exception {
        int count = 0;
        long endNanos = System.nanoTime() + (long) (untilSeconds * 1e9);
        while (!isOver && System.nanoTime() - endNanos < 0) {
            String id = "upload-%d-%d".formatted(uploader, ++count);
            long sentNanos = System.nanoTime();
            String result;
            try (Socket socket = router.connect()) {
                // A consumer closes its connection at its time limit, also while it still writes.
                Thread limit = Http.start("limit of " + id, () -> {
                    Thread.sleep(UPLOAD_LIMIT_MILLIS);
                    socket.close();
                });
                Http.Message answer = send(socket, id);
                limit.interrupt();
                result = answer == null ? "closed" : answer.startLine();
            } catch (IOException e) {
                result = e.toString();
            }
            fleet.note("%s: %s after %.3f s", id, result, (System.nanoTime() - sentNanos) / 1e9);
            Thread.sleep(200);
        }
    }

    private static Http.Message send(Socket socket, String id) throws Exception {
        OutputStream out = socket.getOutputStream();
        out.write(("POST /photos/ms-100 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Timeout-Remaining-Ms: " + UPLOAD_LIMIT_MILLIS
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        byte[] chunk = new byte[CHUNK_BYTES];
        byte[] size = (Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes();
        for (int index = 0; index < UPLOAD_CHUNKS; index++) {
            out.write(size);
            out.write(chunk);
            out.write("\r\n".getBytes());
            Thread.sleep(CHUNK_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes());
        return Http.read(socket.getInputStream());
    }

    private int run() throws Exception {
        if (!router.awaitReady(20)) {
            fleet.note("the router is not ready");
            return Fleet.CANNOT_RUN;
        }
        List<Thread> threads = new ArrayList<>();
        for (int reader = 0; reader < READERS; reader++) {
            int number = reader;
            threads.add(Http.start("reader", () -> read(number)));
        }
        for (int uploader = 0; uploader < USUAL_UPLOADERS; uploader++) {
            int number = uploader;
            threads.add(Http.start("uploader", () -> upload(number, 20)));
        }
        Thread.sleep(6_000);
        if (Fleet.hasTrouble()) {
            fleet.note("burst: %.1f times the uploads for %.0f s", BURST_FACTOR, BURST_SECONDS);
            for (int uploader = USUAL_UPLOADERS; uploader < USUAL_UPLOADERS * BURST_FACTOR; uploader++) {
                int number = uploader;
                threads.add(Http.start("uploader", () -> upload(number, BURST_SECONDS)));
            }
        }
        Thread.sleep(14_000);
        isOver = true;
        for (Thread thread : threads) {
            thread.join(6_000);
        }
        return judge();
    }

    private int judge() {
        List<Read> done = List.copyOf(reads);
        long late = done.stream().filter(read -> read.seconds() > ROUTE_TIMEOUT_SECONDS).count();
        long never = done.stream()
                .filter(read -> read.seconds() > ROUTE_TIMEOUT_SECONDS + ALLOWED_SECONDS)
                .count();
        fleet.note(
                "reads %d, answered with 200 %d; unanswered at TimeoutS %d, of these unanswered 0.5 s later %d; router runs %s",
                done.size(),
                done.stream().filter(read -> read.status() == 200).count(),
                late,
                never,
                router.isAlive());
        boolean isBroken = late >= MIN_LATE && never * 2 > late;
        fleet.note(isBroken ? "CONFIG is broken" : "CONFIG holds");
        return isBroken ? Fleet.BROKEN : Fleet.HELD;
    }

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            code = new Case7(fleet).run();
        }
        System.exit(code);
    }
}
