package org.daisyscale.codec.document;

import java.util.Optional;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.api.lowlevel.Parse;
import org.snakeyaml.engine.v2.events.Event;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.Node;

/**
 * Parses a text that must be a single YAML document of bounded size and depth, without aliases. An instance parses one
 * text. Not thread-safe.
 */
final class YamlParser {
    static final int MAX_DEPTH = 16;

    private final LoadSettings settings;
    private final ProblemLog log;
    private int depth;
    private int documentCount;

    YamlParser(int maxChars, ProblemLog log) {
        this.settings = LoadSettings.builder()
                .setLabel("document")
                .setCodePointLimit(maxChars)
                .build();
        this.log = log;
    }

    /** Returns the root node; empty if the problems added to the log prevent further reading. */
    Optional<Node> read(String text) {
        try {
            checkEvents(text);
            return log.isEmpty() ? compose(text) : Optional.empty();
        } catch (MarkedYamlEngineException cause) {
            log.addProblem(cause.getProblemMark(), "not YAML: " + cause.getProblem());
        } catch (YamlEngineException cause) {
            log.addProblem(Optional.empty(), "not YAML: " + cause.getMessage());
        }
        return Optional.empty();
    }

    private Optional<Node> compose(String text) {
        Optional<Node> root = new Compose(settings).composeString(text);
        if (root.isEmpty()) {
            log.addProblem(Optional.empty(), "the document is empty");
        }
        return root;
    }

    private void checkEvents(String text) {
        for (Event event : new Parse(settings).parseString(text)) {
            check(event);
            if (depth > MAX_DEPTH) {
                log.addProblem(event.getStartMark(), "nested more than %d levels deep".formatted(MAX_DEPTH));
                return;
            }
        }
    }

    private void check(Event event) {
        switch (event.getEventId()) {
            case Alias -> log.addProblem(event.getStartMark(), "aliases are not accepted; write the value out");
            case MappingStart, SequenceStart -> depth++;
            case MappingEnd, SequenceEnd -> depth--;
            case DocumentStart -> checkDocumentCount(event);
            default -> {
                // Other events, such as scalars and document ends, need no check.
            }
        }
    }

    private void checkDocumentCount(Event event) {
        documentCount++;
        if (documentCount > 1) {
            log.addProblem(event.getStartMark(), "a second YAML document starts here; one file holds one document");
        }
    }
}
