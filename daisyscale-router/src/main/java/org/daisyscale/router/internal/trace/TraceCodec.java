package org.daisyscale.router.internal.trace;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import org.daisyscale.core.Event;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Encodes and decodes trace entries as lines of JSON. The property {@code type} of an event or peer message is the
 * simple name of its class. Safe for use by several threads.
 */
public final class TraceCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addMixIn(Event.class, Typed.class)
            .addMixIn(PeerMessage.class, Typed.class)
            .registerSubtypes(Event.class.getPermittedSubclasses())
            .registerSubtypes(PeerMessage.class.getPermittedSubclasses())
            .build();

    private TraceCodec() {}

    /** Returns {@code entry} as a line of JSON, without a line terminator. */
    public static String write(TraceEntry entry) {
        try {
            return MAPPER.writeValueAsString(entry);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the entry that {@code line} encodes.
     *
     * @throws UncheckedIOException if the line is not a trace entry
     */
    public static TraceEntry read(String line) {
        try {
            return MAPPER.readValue(line, TraceEntry.class);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    private interface Typed {}
}
