package org.daisyscale.codec.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;
import org.snakeyaml.engine.v2.nodes.Tag;

/**
 * Reads the typed values of one YAML mapping. A malformed value is added to the log and replaced by a placeholder, so
 * that a single pass finds all problems. Not thread-safe.
 */
final class MappingReader {
    private final ProblemLog log;
    private final String path;
    private final Node node;
    private final Map<String, Node> values = new LinkedHashMap<>();

    private MappingReader(ProblemLog log, String path, Node node) {
        this.log = log;
        this.path = path;
        this.node = node;
    }

    /**
     * Creates a reader for {@code node}, which must be a mapping with {@code knownKeys}. For any other node a problem
     * is logged and the reader has no values.
     */
    static MappingReader open(ProblemLog log, String path, Node node, List<String> knownKeys) {
        MappingReader reader = new MappingReader(log, path, node);
        log.recordPosition(path, node);
        if (node instanceof MappingNode mapping) {
            mapping.getValue().forEach(tuple -> reader.add(tuple, knownKeys));
        } else {
            log.addMalformed(path, node, "expects a mapping with the keys " + String.join(", ", knownKeys));
        }
        return reader;
    }

    private void add(NodeTuple tuple, List<String> knownKeys) {
        Node keyNode = tuple.getKeyNode();
        String key = keyNode instanceof ScalarNode scalar ? scalar.getValue() : "";
        if (!knownKeys.contains(key)) {
            log.addProblem(keyNode.getStartMark(), unknownKeyMessage(key, knownKeys));
        } else if (values.containsKey(key)) {
            int firstLine = lineOf(values.get(key));
            log.addProblem(
                    keyNode.getStartMark(), "the key '%s' is given twice; first at line %d".formatted(key, firstLine));
        } else {
            values.put(key, tuple.getValueNode());
            log.recordPosition(pathOf(key), tuple.getValueNode());
        }
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    String requiredText(String key) {
        return required(key, Tag.STR).orElse("");
    }

    String text(String key, String defaultValue) {
        return scalar(key, Tag.STR).orElse(defaultValue);
    }

    boolean requiredBoolean(String key) {
        return required(key, Tag.BOOL).flatMap(text -> parseBoolean(key, text)).orElse(false);
    }

    boolean bool(String key, boolean defaultValue) {
        return scalar(key, Tag.BOOL).flatMap(text -> parseBoolean(key, text)).orElse(defaultValue);
    }

    long requiredLong(String key) {
        return required(key, Tag.INT).flatMap(text -> parseLong(key, text)).orElse(0L);
    }

    long longNumber(String key, long defaultValue) {
        return scalar(key, Tag.INT).flatMap(text -> parseLong(key, text)).orElse(defaultValue);
    }

    int requiredInt(String key) {
        return toInt(key, requiredLong(key), 0);
    }

    int intNumber(String key, int defaultValue) {
        return toInt(key, longNumber(key, defaultValue), defaultValue);
    }

    private int toInt(String key, long value, int defaultValue) {
        if (value != (int) value) {
            addMalformed(key, "%d is out of range".formatted(value));
            return defaultValue;
        }
        return (int) value;
    }

    double decimal(String key, double defaultValue) {
        return scalar(key, Tag.FLOAT, Tag.INT)
                .flatMap(text -> parseDouble(key, text))
                .orElse(defaultValue);
    }

    /**
     * Returns the enum constant with the given lower-case name; the key is required if {@code defaultValue} is null.
     */
    <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        E fallback = defaultValue == null ? type.getEnumConstants()[0] : defaultValue;
        Optional<String> text = defaultValue == null ? required(key, Tag.STR) : scalar(key, Tag.STR);
        return text.map(name -> parseConstant(key, type, name).orElse(fallback)).orElse(fallback);
    }

    /** Returns a reader for the mapping under {@code key}; empty if the key is absent. */
    Optional<MappingReader> mapping(String key, List<String> knownKeys) {
        return Optional.ofNullable(values.get(key)).map(value -> open(log, pathOf(key), value, knownKeys));
    }

    /** Returns the mappings in the list under {@code key}, each converted by {@code reader}. */
    <T> List<T> requiredList(String key, List<String> knownKeys, Function<MappingReader, T> reader) {
        Node value = values.get(key);
        if (value == null) {
            addMissing(key);
            return List.of();
        }
        if (!(value instanceof SequenceNode sequence)) {
            addMalformed(key, "expects a list");
            return List.of();
        }
        List<T> items = new ArrayList<>();
        for (Node item : sequence.getValue()) {
            String itemPath = "%s[%d]".formatted(pathOf(key), items.size());
            items.add(reader.apply(open(log, itemPath, item, knownKeys)));
        }
        return items;
    }

    /** Adds a problem with the mapping as a whole and marks its path as malformed. */
    void addMalformed(String message) {
        log.addMalformed(path, node, message);
    }

    private Optional<String> required(String key, Tag tag) {
        if (!has(key)) {
            addMissing(key);
        }
        return scalar(key, tag);
    }

    private void addMissing(String key) {
        log.addMalformed(pathOf(key), node, "the key '%s' is missing".formatted(key));
    }

    private Optional<String> scalar(String key, Tag... accepted) {
        Node value = values.get(key);
        if (value == null) {
            return Optional.empty();
        }
        if (value instanceof ScalarNode scalar && List.of(accepted).contains(scalar.getTag())) {
            return Optional.of(scalar.getValue());
        }
        addMalformed(key, "expects " + describe(accepted[0]));
        return Optional.empty();
    }

    private Optional<Boolean> parseBoolean(String key, String text) {
        if (!text.equals("true") && !text.equals("false")) {
            addMalformed(key, "expects " + describe(Tag.BOOL));
            return Optional.empty();
        }
        return Optional.of(text.equals("true"));
    }

    private Optional<Long> parseLong(String key, String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            addMalformed(key, "'%s' is out of range".formatted(truncate(text)));
            return Optional.empty();
        }
    }

    private Optional<Double> parseDouble(String key, String text) {
        try {
            return Optional.of(Double.parseDouble(text));
        } catch (NumberFormatException e) {
            addMalformed(key, "'%s' is not a number".formatted(truncate(text)));
            return Optional.empty();
        }
    }

    private <E extends Enum<E>> Optional<E> parseConstant(String key, Class<E> type, String name) {
        Map<String, E> constants = Stream.of(type.getEnumConstants())
                .collect(Collectors.toMap(
                        constant -> constant.name().toLowerCase(Locale.ROOT),
                        Function.identity(),
                        (one, other) -> one,
                        LinkedHashMap::new));
        E constant = constants.get(name);
        if (constant == null) {
            String accepted = String.join(", ", constants.keySet());
            addMalformed(key, "'%s' is unknown; expects one of %s".formatted(truncate(name), accepted));
        }
        return Optional.ofNullable(constant);
    }

    private void addMalformed(String key, String message) {
        log.addMalformed(pathOf(key), values.get(key), key + ": " + message);
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static String unknownKeyMessage(String key, List<String> knownKeys) {
        return Spelling.nearest(key, knownKeys)
                .map(nearest -> "unknown key '%s'; did you mean '%s'?".formatted(truncate(key), nearest))
                .orElseGet(() ->
                        "unknown key '%s'; expects one of %s".formatted(truncate(key), String.join(", ", knownKeys)));
    }

    private static String truncate(String text) {
        int maxChars = 64;
        return text.length() <= maxChars ? text : text.substring(0, maxChars) + "...";
    }

    private static String describe(Tag tag) {
        if (tag.equals(Tag.INT)) {
            return "a whole number";
        }
        if (tag.equals(Tag.FLOAT)) {
            return "a number";
        }
        return tag.equals(Tag.BOOL) ? "true or false" : "text; quote a value that YAML reads as another type";
    }

    private static int lineOf(Node node) {
        return node.getStartMark().map(mark -> mark.getLine() + 1).orElse(1);
    }
}
