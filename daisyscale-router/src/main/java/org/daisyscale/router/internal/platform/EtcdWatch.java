package org.daisyscale.router.internal.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.daisyscale.codec.CodecException;
import org.daisyscale.core.platform.VersionedValue;
import org.daisyscale.router.internal.http.HttpStream;
import org.daisyscale.router.internal.platform.EtcdMessages.KeyValue;
import org.daisyscale.router.internal.platform.EtcdMessages.RangeRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.WatchEvent;
import org.daisyscale.router.internal.platform.EtcdMessages.WatchRequest;
import org.daisyscale.router.internal.platform.EtcdMessages.WatchResponse;
import org.daisyscale.router.internal.platform.EtcdMessages.WatchResult;

/**
 * Watches several keys with one streaming call each. The whole watch is lost when one of the streams ends. A stream
 * that delivers nothing for {@link #SILENCE_LIMIT} ends too, since an idle stream cannot be told from a dead endpoint.
 * Thread-safe.
 */
final class EtcdWatch implements AutoCloseable {
    static final Duration SILENCE_LIMIT = Duration.ofSeconds(60);

    private static final String WATCH = "/v3/watch";
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final EtcdClient client;
    private final Consumer<VersionedValue> onChange;
    private final Runnable onLost;
    private final AtomicBoolean isEnded = new AtomicBoolean();
    private final List<HttpStream> streams = new CopyOnWriteArrayList<>();
    private final List<CompletableFuture<Void>> confirmations = new ArrayList<>();

    private EtcdWatch(EtcdClient client, Consumer<VersionedValue> onChange, Runnable onLost) {
        this.client = client;
        this.onChange = onChange;
        this.onLost = onLost;
    }

    /**
     * Watches {@code keys} and waits until the service has confirmed every stream.
     *
     * @throws PlatformException if that takes longer than {@code timeout} or a stream fails
     */
    static EtcdWatch open(
            EtcdClient client,
            List<String> keys,
            Duration timeout,
            Consumer<VersionedValue> onChange,
            Runnable onLost) {
        EtcdWatch watch = new EtcdWatch(client, onChange, onLost);
        keys.forEach(watch::openStream);
        try {
            watch.awaitConfirmations(timeout);
            return watch;
        } catch (PlatformException e) {
            watch.close();
            client.preferNext();
            throw e;
        }
    }

    private void openStream(String key) {
        KeyListener listener = new KeyListener();
        confirmations.add(listener.confirmation);
        byte[] rawKey = key.getBytes(StandardCharsets.UTF_8);
        streams.add(client.stream(WATCH, new WatchRequest(new RangeRequest(rawKey)), SILENCE_LIMIT, listener));
    }

    private void awaitConfirmations(Duration timeout) {
        try {
            CompletableFuture.allOf(confirmations.toArray(CompletableFuture<?>[]::new))
                    .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(PlatformErrorCode.UNREACHABLE, "interrupted while opening a watch", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new PlatformException(PlatformErrorCode.UNREACHABLE, "watch not confirmed within " + timeout, e);
        }
    }

    private void endAsLost() {
        if (isEnded.compareAndSet(false, true)) {
            streams.forEach(HttpStream::close);
            client.preferNext();
            onLost.run();
        }
    }

    @Override
    public void close() {
        isEnded.set(true);
        streams.forEach(HttpStream::close);
    }

    private final class KeyListener implements HttpStream.Listener {
        private final CompletableFuture<Void> confirmation = new CompletableFuture<>();
        private final LineSplitter lines = new LineSplitter(MAX_LINE_BYTES, this::onLine);

        @Override
        public void onChunk(byte[] bytes) {
            if (!lines.add(bytes)) {
                onEnd("a line of the response is too long");
            }
        }

        @Override
        public void onEnd(String reason) {
            boolean wasUnconfirmed = confirmation.completeExceptionally(
                    new PlatformException(PlatformErrorCode.UNREACHABLE, "watch: " + reason, null));
            if (!wasUnconfirmed) {
                endAsLost();
            }
        }

        private void onLine(byte[] line) {
            try {
                onResult(client.codec().read(line, WatchResponse.class).result());
            } catch (CodecException e) {
                onEnd(e.getMessage());
            }
        }

        private void onResult(WatchResult result) {
            if (result == null || result.canceled()) {
                onEnd("cancelled by the service");
                return;
            }
            if (result.created()) {
                confirmation.complete(null);
            }
            EtcdMessages.listOrEmpty(result.events()).forEach(this::onEvent);
        }

        private void onEvent(WatchEvent event) {
            KeyValue kv = event.kv();
            if (isEnded.get() || kv == null || kv.key() == null) {
                return;
            }
            String key = new String(kv.key(), StandardCharsets.UTF_8);
            long version = event.isDelete() ? 0 : kv.modRevision();
            onChange.accept(new VersionedValue(key, kv.valueOrEmpty(), version));
        }
    }
}
