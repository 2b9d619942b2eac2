package org.daisyscale.router.internal.serving;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * Determines which server the process at an address is. The check has a connection of its own, since a copy of its
 * response could be taken for the response to the call that follows; the call uses another connection at once, because
 * an address is reused only seconds later. Implementations are immutable.
 */
interface ProcessCheck {

    /** Returns the id of the expected server. */
    String serverId();

    /** Creates the call that asks the process who it is; {@code onVerdict} receives the result exactly once. */
    HttpCall createCall(Consumer<Verdict> onVerdict);

    /** Asks the process on a new connection of {@code connector}; {@code onVerdict} is called on {@code loop}. */
    default void run(Connector connector, EventLoop loop, Consumer<Verdict> onVerdict) {
        HttpCall call = createCall(onVerdict);
        call.checkTimeout(loop);
        OneCallConnection.send(connector, call);
    }

    /** The result of a check. */
    enum Verdict {
        /** The process is the expected server, or does not say who it is. */
        EXPECTED,
        /** The process is another server. */
        ANOTHER,
        /** The process did not answer. */
        UNANSWERED,
        /** The port refused the connection. */
        REFUSED;

        /** Ends {@code call}, which must not be sent after this verdict. */
        void fail(HttpCall call) {
            switch (this) {
                case ANOTHER ->
                    call.end(
                            HttpCall.Failure.OTHER_PROCESS,
                            "the address belongs to another server than the expected one");
                case REFUSED ->
                    call.end(
                            HttpCall.Failure.CONNECTION_REFUSED,
                            "the port refused the connection for the process check");
                default -> call.end(HttpCall.Failure.NOT_SENT, "the process at the address did not identify itself");
            }
        }
    }
}
