package org.daisyscale.testkit.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.Seats;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.peer.PeerMessage;

/** The encoded bytes of messages, and of each slice and range of the map. Stateless. */
final class MessageSizes {
    private static final int SMALL = 1_000;
    private static final int LARGE = 11_000;
    private static final long UPTIME_NANOS = 3_000_000_000_000_000L;

    private final JsonCodec json = new JsonCodec(text -> null);
    private final PeerCodec peers = new PeerCodec(text -> null);

    /** Bytes by the name of what was measured. */
    Map<String, Double> measure() {
        Map<String, Double> bytes = new LinkedHashMap<>();
        bytes.put("stored bytes per slice", slope(count -> json.write(map(count, 0)).length));
        bytes.put("stored bytes per range", slope(count -> json.write(map(0, count)).length));
        bytes.put("MapUpdate bytes per slice", slope(count -> encoded(new PeerMessage.MapUpdate(map(count, 0)))));
        bytes.put("MapUpdate bytes per range", slope(count -> encoded(new PeerMessage.MapUpdate(map(0, count)))));
        bytes.put("Ping bytes", (double) encoded(new PeerMessage.Ping(UPTIME_NANOS, LARGE, SMALL)));
        bytes.put("Pong bytes", (double) encoded(new PeerMessage.Pong(UPTIME_NANOS, LARGE, SMALL, false)));
        return bytes;
    }

    private static double slope(SizeOf size) {
        return (size.bytes(LARGE) - size.bytes(SMALL)) / (double) (LARGE - SMALL);
    }

    private int encoded(PeerMessage message) {
        return peers.encode(message).length;
    }

    private static OwnershipMap map(int sliceCount, int rangeCount) {
        List<SliceAssignment> slices = new ArrayList<>();
        for (long i = 0; i < sliceCount; i++) {
            long start = KeyHash.SPACE * i / sliceCount;
            long end = KeyHash.SPACE * (i + 1) / sliceCount;
            String server = "server-%05d-7f3a9c".formatted(i % SMALL);
            slices.add(new SliceAssignment(SampleFleet.service(0), start, end, server, LARGE, ""));
        }
        List<RangeAssignment> ranges = new ArrayList<>();
        for (int i = 0; i < rangeCount; i++) {
            String router = SampleFleet.routerId(i % SMALL);
            ranges.add(new RangeAssignment(SampleFleet.service(0), i, router, LARGE, SMALL, ""));
        }
        return new OwnershipMap(LARGE, 1, "write", Seats.none(), ranges, slices);
    }

    private interface SizeOf {
        int bytes(int count);
    }
}
