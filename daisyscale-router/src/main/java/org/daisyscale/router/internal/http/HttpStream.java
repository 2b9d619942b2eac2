package org.daisyscale.router.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.util.concurrent.atomic.AtomicBoolean;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.http.client.StreamedResponse;

/**
 * An endless HTTP answer. The listener gets each chunk and, once, the end of the answer, on the event loop's thread; it
 * gets nothing that arrives after the stream was closed. Thread-safe.
 */
public final class HttpStream implements AutoCloseable {
    private static final int OK = 200;

    private final Listener listener;
    private final AtomicBoolean isEnded = new AtomicBoolean();
    private volatile Subscription subscription;

    HttpStream(Listener listener) {
        this.listener = listener;
    }

    void onResponse(StreamedResponse response) {
        response.getBody().subscribe(new ChunkSubscriber());
        if (response.getStatusCode() != OK) {
            end("HTTP status " + response.getStatusCode());
        }
    }

    void onError(Throwable failure) {
        end(String.valueOf(failure.getMessage()));
    }

    private void end(String reason) {
        if (isEnded.compareAndSet(false, true)) {
            cancel();
            listener.onEnd(reason);
        }
    }

    private void cancel() {
        Subscription current = subscription;
        if (current != null) {
            current.cancel();
        }
    }

    @Override
    public void close() {
        isEnded.set(true);
        cancel();
    }

    /** Receives the chunks and the end of a stream. */
    public interface Listener {

        /** Receives the next chunk; its boundaries are arbitrary. */
        void onChunk(byte[] bytes);

        /** Called when the answer ended or failed without being closed; {@code reason} says why. */
        void onEnd(String reason);
    }

    private final class ChunkSubscriber implements Subscriber<ByteBuf> {

        @Override
        public void onSubscribe(Subscription newSubscription) {
            subscription = newSubscription;
            if (isEnded.get()) {
                newSubscription.cancel();
            } else {
                newSubscription.request(Long.MAX_VALUE);
            }
        }

        @Override
        public void onNext(ByteBuf chunk) {
            byte[] bytes = ByteBufUtil.getBytes(chunk);
            chunk.release();
            if (!isEnded.get()) {
                listener.onChunk(bytes);
            }
        }

        @Override
        public void onError(Throwable failure) {
            end(String.valueOf(failure.getMessage()));
        }

        @Override
        public void onComplete() {
            end("the server ended the answer");
        }
    }
}
