package org.daisyscale.router.internal.assembly;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.daisyscale.core.Action;
import org.daisyscale.core.DecisionCore;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.request.Permit;
import org.daisyscale.router.internal.operator.DocumentParser;
import org.daisyscale.router.internal.operator.DocumentProblem;
import org.daisyscale.router.internal.settings.RouterSettings;
import org.daisyscale.router.internal.settings.SettingsReader;

/** A running router with a scripted core, on free ports, without connections to peers or the platform. */
public final class RunningRouter implements AutoCloseable {
    public static final String TOKEN = "operator-token-of-the-test";
    private static final DocumentParser NO_DOCUMENT_IS_VALID =
            text -> new DocumentParser.ParsedDocument(null, List.of(new DocumentProblem(3, 5, "no such key")));

    private final StopSignal stopSignal = new StopSignal();
    private final CompletableFuture<RouterAssembly.Ports> ports = new CompletableFuture<>();
    private final CompletableFuture<Void> end;
    private final HttpClient client = HttpClient.newHttpClient();

    public RunningRouter(DecisionCore core, String... flags) {
        RouterSettings settings = settings(flags);
        RouterAssembly assembly = new RouterAssembly(settings, core, new NoLinks(), NO_DOCUMENT_IS_VALID, stopSignal);
        end = CompletableFuture.runAsync(() -> run(assembly), work -> new Thread(work, "router-under-test").start());
    }

    private static RouterSettings settings(String... flags) {
        List<String> all = new ArrayList<>(List.of(
                "--data-centre=dc1",
                "--caller-host=127.0.0.1",
                "--caller-port=0",
                "--operator-port=0",
                "--platform-url=embedded",
                "--vm-list-inline=[]",
                "--permit-life-millis=800",
                "--stop-limit-millis=5000"));
        all.addAll(Arrays.asList(flags));
        Map<String, String> environment =
                Map.of("DAISYSCALE_OPERATOR_TOKEN", TOKEN, "DAISYSCALE_PEER_SECRET", "peer-secret-of-the-test");
        return new SettingsReader(environment).read(all.toArray(new String[0])).settings();
    }

    private void run(RouterAssembly assembly) {
        try {
            assembly.runUntilStopped(ports::complete);
        } catch (Exception e) {
            ports.completeExceptionally(e);
            throw new IllegalStateException(e);
        }
    }

    public int callerPort() {
        return ports.orTimeout(20, TimeUnit.SECONDS).join().callerPort();
    }

    public int operatorPort() {
        return ports.orTimeout(20, TimeUnit.SECONDS).join().operatorPort();
    }

    public StopSignal stopSignal() {
        return stopSignal;
    }

    public CompletableFuture<Void> end() {
        return end;
    }

    public HttpResponse<byte[]> get(String path) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort() + path)));
    }

    public HttpResponse<byte[]> post(String path, byte[] body) throws IOException, InterruptedException {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort() + path))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)));
    }

    public HttpResponse<byte[]> operator(String path, String token) throws IOException, InterruptedException {
        return send(operatorRequest(path).header("Authorization", "Bearer " + token));
    }

    public HttpRequest.Builder operatorRequest(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operatorPort() + path));
    }

    public HttpResponse<byte[]> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    @Override
    public void close() {
        stopSignal.done();
        end.orTimeout(20, TimeUnit.SECONDS).join();
    }

    /** Returns an order for {@code request} to the local server at {@code port} that may be sent for ten seconds. */
    public static Action.SendOrder orderTo(int port, Event.RequestArrived request, Moment now, long timeoutMillis) {
        Permit permit = new Permit(
                "order-of-" + request.requestId(), "slots", 0, "server-1", "127.0.0.1", port, 7, 3, 800, 1_234_567, 42);
        return new Action.SendOrder(request.requestId(), permit, now.nanosAfterMillis(10_000), timeoutMillis);
    }

    /** Returns a core that sends each request to {@code port}, forwards answers and rejects the request otherwise. */
    public static ScriptedCore forwardingTo(int port) {
        return new ScriptedCore((event, now) -> {
            if (event instanceof Event.RequestArrived request) {
                return List.of(orderTo(port, request, now, 1_000));
            }
            if (event instanceof Event.OrderEnded ended) {
                return List.of(CoreScripts.replyTo(ended));
            }
            return event instanceof Event.StopRequested ? List.of(new Action.StopNow()) : List.of();
        });
    }
}
