package org.daisyscale.core.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.daisyscale.core.document.KeySource;
import org.daisyscale.core.document.Objective;
import org.daisyscale.core.document.RequestKind;
import org.daisyscale.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class FairQueueTest {
    private final FairQueue queue = new FairQueue();

    @Test
    void shouldServeCallersRoundRobinHoweverManyRequestsOneOfThemSends() {
        queue.add(request("busy", "b1"));
        queue.add(request("busy", "b2"));
        queue.add(request("busy", "b3"));
        queue.add(request("quiet", "q1"));

        List<String> order = drain();

        assertThat(order).containsExactly("r/b1", "r/q1", "r/b2", "r/b3");
    }

    @Test
    void shouldSkipARemovedRequest() {
        queue.add(request("busy", "b1"));
        queue.add(request("busy", "b2"));

        boolean isRemoved = queue.remove("r/b1");

        assertThat(isRemoved).isTrue();
        assertThat(drain()).containsExactly("r/b2");
    }

    @Test
    void shouldServeFirstARequestThatWasPutBack() {
        queue.add(request("busy", "b1"));
        queue.add(request("busy", "b2"));

        queue.putBack(queue.poll().orElseThrow());

        assertThat(drain()).containsExactly("r/b1", "r/b2");
    }

    @Test
    void shouldCountOneRequestOfEachOtherCallerBeforeACallerWithoutWaitingRequests() {
        queue.add(request("busy", "b1"));
        queue.add(request("busy", "b2"));
        queue.add(request("busy", "b3"));

        int countBefore = queue.countBefore("quiet");

        assertThat(countBefore).isEqualTo(1);
    }

    private List<String> drain() {
        List<String> ids = new ArrayList<>();
        Optional<WaitingRequest> next = queue.poll();
        while (next.isPresent()) {
            ids.add(next.get().id());
            next = queue.poll();
        }
        return ids;
    }

    private static WaitingRequest request(String caller, String requestId) {
        RequestKind kind = new RequestKind(
                "check", "GET", "/", KeySource.NONE, "", true, 100, 1, 1, 0, 0, 0, new Objective(99, 100));
        PeerMessage.PermitRequest permitRequest =
                new PeerMessage.PermitRequest(requestId, "service", "check", 0, -1, caller, "", "", 1, "", false, 100);
        return new WaitingRequest("r", permitRequest, kind, 0, 100);
    }
}
