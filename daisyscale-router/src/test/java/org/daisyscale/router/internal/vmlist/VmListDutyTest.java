package org.daisyscale.router.internal.vmlist;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.core.Event;
import org.daisyscale.core.document.EnvironmentDocument;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.membership.VmRole;
import org.daisyscale.router.internal.http.HttpCaller;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ratpack.server.RatpackServer;

@Timeout(30)
class VmListDutyTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration QUIET = Duration.ofMillis(300);
    private static final long INTERVAL_MILLIS = 20;
    private static final JsonCodec CODEC = new JsonCodec(text -> new EnvironmentDocument(1, "trial", List.of()));
    private static final String ROUTER = """
            {"targets":["127.0.0.1:8001"],"labels":{"__meta_daisyscale_vm_id":"r1",
             "__meta_daisyscale_role":"router","__meta_daisyscale_data_centre":"dc1",
             "__meta_daisyscale_peer_port":"7001","__meta_daisyscale_state":"live"}}""";
    private static final String SERVER = """
            {"targets":["127.0.0.1:9001"],"labels":{"__meta_daisyscale_vm_id":"s1",
             "__meta_daisyscale_role":"backend-server","job":"afd7-slot-lookup",
             "__meta_daisyscale_data_centre":"dc2","__meta_daisyscale_state":"leaving",
             "__meta_daisyscale_slots":"3","__meta_daisyscale_connections":"130"}}""";
    private static final VmRecord ROUTER_VM =
            new VmRecord("r1", VmRole.ROUTER, "", "dc1", "127.0.0.1", 8001, 7001, false, 0, 0);
    private static final VmRecord SERVER_VM =
            new VmRecord("s1", VmRole.BACKEND_SERVER, "afd7-slot-lookup", "dc2", "127.0.0.1", 9001, 0, true, 3, 130);

    private final Ring<Event> events = new ArrayRing<>("events", 10_000);

    @Test
    void shouldReadRoutersAndBackendServers() throws InterruptedException {
        Optional<Event> event = firstEvent("[" + ROUTER + "," + SERVER + "]");

        assertThat(event).contains(new Event.VmListRead(List.of(ROUTER_VM, SERVER_VM)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"targets\":[\"host.name:1\"],\"labels\":{}}",
                "{\"targets\":[\"127.0.0.1:70000\"],\"labels\":{}}",
                "{\"targets\":[\"127.0.0.1\"],\"labels\":{}}",
                "{\"targets\":[\"127.0.0.1:1\"],\"labels\":{\"__meta_daisyscale_role\":\"cook\"}}"
            })
    void shouldSkipOnlyInvalidEntries(String invalid) throws InterruptedException {
        Optional<Event> event = firstEvent("[" + invalid + "," + ROUTER + "]");

        assertThat(event).contains(new Event.VmListRead(List.of(ROUTER_VM)));
    }

    @Test
    void shouldSkipAnEntryWithADuplicateId() throws InterruptedException {
        Optional<Event> event = firstEvent("[" + ROUTER + "," + ROUTER.replace("8001", "8002") + "]");

        assertThat(event).contains(new Event.VmListRead(List.of(ROUTER_VM)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "[null]", "[{}]", "[{\"targets\":5}]", "<html>"})
    void shouldPassNothingOnWhenTheListIsMalformed(String json) throws InterruptedException {
        VmListDuty duty = VmListDuty.start(VmListSource.inline(json), CODEC, INTERVAL_MILLIS, events);
        try (duty) {
            assertThat(events.poll(QUIET)).isEmpty();
        }
    }

    @Test
    void shouldFollowAListOverHttpAndPassNothingOnWhileItFails() throws Exception {
        AtomicReference<String> body = new AtomicReference<>("[" + ROUTER + "]");
        RatpackServer server = RatpackServer.start(spec -> spec.serverConfig(
                        config -> config.port(0).address(InetAddress.getLoopbackAddress()))
                .handlers(chain ->
                        chain.get("vms", context -> context.getResponse().send("application/json", body.get()))));
        URI uri = URI.create("http://127.0.0.1:" + server.getBindPort() + "/vms");
        try (HttpCaller caller = new HttpCaller(Duration.ofSeconds(1), 1 << 20);
                VmListDuty duty = VmListDuty.start(VmListSource.http(caller, uri), CODEC, INTERVAL_MILLIS, events)) {
            assertThat(events.poll(WAIT)).contains(new Event.VmListRead(List.of(ROUTER_VM)));

            body.set("[" + SERVER + "]");
            Event changed = new Event.VmListRead(List.of(SERVER_VM));
            while (!events.poll(WAIT).orElseThrow().equals(changed)) {
                Thread.sleep(1);
            }
            server.stop();
            drain();

            assertThat(events.poll(QUIET)).isEmpty();
        }
    }

    private void drain() throws InterruptedException {
        while (events.poll(Duration.ofMillis(100)).isPresent()) {
            Thread.sleep(1);
        }
    }

    private Optional<Event> firstEvent(String json) throws InterruptedException {
        VmListDuty duty = VmListDuty.start(VmListSource.inline(json), CODEC, INTERVAL_MILLIS, events);
        try (duty) {
            return events.poll(WAIT);
        }
    }
}
