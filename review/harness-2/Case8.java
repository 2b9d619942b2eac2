import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Consumers that leave while their upload is at work: are the consumers after them still served? */
final class Case8 {
    private static final int UPLOADERS = 10;
    private static final double LEAVING_SHARE = 0.3;
    private static final int LEAVE_AFTER_MILLIS = 500;
    private static final int UPLOAD_CHUNKS = 20;
    private static final int CHUNK_BYTES = 1 << 20;
    private static final int UPLOAD_LIMIT_MILLIS = 4_000;
    private static final int READ_LIMIT_MILLIS = 1_500;
    private static final int READ_SECONDS = 30;

    private final Fleet fleet;
    private final Router router;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();

    private Case8(Fleet fleet) throws Exception {
        this.fleet = fleet;
        fleet.configure(
                1,
                List.of(
                        Fleet.route("photos", "/photos/", "upload", 3, 1, "archive", 2),
                        Fleet.route("stock", "/stock/", "idempotent", 0.8, 0.4, "status", 2)),
                List.of(Fleet.service("archive", false), Fleet.service("status", false)));
        for (int index = 0; index < 4; index++) {
            fleet.addBackend("archive-" + index, "archive", "za", false);
            fleet.addBackend("status-" + index, "status", "za", false);
        }
        router = fleet.addRouter("edge-1", "127.0.0.1", "za");
    }

    /** Sends an upload; a consumer that leaves closes its connection while the backend works, within its time limit. */
    private void upload(int number, boolean isLeaving) throws Exception {
        String id = "upload-" + number;
        asked.incrementAndGet();
        String result;
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(UPLOAD_LIMIT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /photos/ms-1000 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Timeout-Remaining-Ms: " + UPLOAD_LIMIT_MILLIS
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes());
            for (int index = 0; index < UPLOAD_CHUNKS; index++) {
                out.write((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes());
                out.write(new byte[CHUNK_BYTES]);
                out.write("\r\n".getBytes());
            }
            out.write("0\r\n\r\n".getBytes());
            if (isLeaving) {
                Thread.sleep(LEAVE_AFTER_MILLIS);
                result = "left after " + LEAVE_AFTER_MILLIS + " ms";
            } else {
                Http.Message answer = Http.read(socket.getInputStream());
                result = answer == null ? "closed" : answer.startLine();
                count(answer);
            }
        } catch (IOException e) {
            result = e.toString();
        }
        fleet.note("%s: %s", id, result);
    }

    private void read(int number) throws Exception {
        String id = "read-" + number;
        asked.incrementAndGet();
        String result;
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(READ_LIMIT_MILLIS);
            socket.getOutputStream()
                    .write(("GET /stock/ms-100 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                                    + "\r\nX-Timeout-Remaining-Ms: " + READ_LIMIT_MILLIS + "\r\n\r\n")
                            .getBytes());
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            result = answer == null ? "closed" : answer.startLine() + " Retry-After " + answer.header("Retry-After");
            count(answer);
        } catch (IOException e) {
            result = e.toString();
        }
        fleet.note("%s: %s", id, result);
    }

    private void count(Http.Message answer) {
        if (answer != null && answer.status() == 200 && !answer.header("X-Backend-Signature").isEmpty()) {
            served.incrementAndGet();
        }
    }

    private int run() throws Exception {
        if (!router.awaitReady(20)) {
            fleet.note("the router is not ready");
            return Fleet.CANNOT_RUN;
        }
        int leaving = Fleet.hasTrouble() ? (int) Math.round(UPLOADERS * LEAVING_SHARE) : 0;
        for (int number = 0; number < UPLOADERS; number++) {
            upload(number, number < leaving);
            Thread.sleep(1_500);
        }
        for (int number = 0; number < READ_SECONDS; number++) {
            read(number);
            Thread.sleep(1_000);
        }
        int runs = fleet.backends.stream().mapToInt(backend -> backend.runs().size()).sum();
        fleet.note(
                "asked %d, served %d, run by backends %d; the router runs: %s, says it is ready: %s",
                asked.get(), served.get(), runs, router.isAlive(), router.readiness() == 200);
        boolean isBroken = served.get() == 0;
        fleet.note(isBroken ? "Fault: no request is served" : "requests are served");
        return isBroken ? Fleet.BROKEN : Fleet.HELD;
    }

    public static void main(String[] arguments) throws Exception {
        int code;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
            code = new Case8(fleet).run();
        }
        System.exit(code);
    }
}
