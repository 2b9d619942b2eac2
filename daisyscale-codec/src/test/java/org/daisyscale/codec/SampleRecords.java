package org.daisyscale.codec;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.document.EnvironmentDocument;

/** Fills any record with sample values, so that tests cover a new component as soon as it is added. Stateless. */
public final class SampleRecords {
    /** The document that {@link #parseDocument} returns for every text. */
    public static final EnvironmentDocument DOCUMENT = new EnvironmentDocument(1, "trial", List.of());

    private SampleRecords() {}

    /** Returns {@link #DOCUMENT} whatever the text; serves as the codecs' document parser. */
    public static EnvironmentDocument parseDocument(String text) {
        return DOCUMENT;
    }

    /** Returns a record of {@code type} with a sample value in each component. */
    public static <T> T sampleOf(Class<T> type) {
        RecordComponent[] components = type.getRecordComponents();
        Object[] values = Arrays.stream(components)
                .map(component -> sampleValue(component.getGenericType()))
                .toArray();
        try {
            Constructor<T> constructor = type.getDeclaredConstructor(
                    Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new));
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(type.getName(), e);
        }
    }

    private static Object sampleValue(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return sampleContainer(parameterized);
        }
        Class<?> raw = (Class<?>) type;
        if (raw == EnvironmentDocument.class) {
            return DOCUMENT;
        }
        if (raw.isRecord()) {
            return sampleOf(raw);
        }
        return raw.isEnum() ? raw.getEnumConstants()[1] : samplePlain(raw);
    }

    private static Object sampleContainer(ParameterizedType type) {
        Object element = sampleValue(type.getActualTypeArguments()[0]);
        Class<?> raw = (Class<?>) type.getRawType();
        if (raw == Map.class) {
            return Map.of(element, sampleValue(type.getActualTypeArguments()[1]));
        }
        if (raw == Optional.class) {
            return Optional.of(element);
        }
        return raw == Set.class ? Set.of(element) : List.of(element);
    }

    private static Object samplePlain(Class<?> raw) {
        return switch (raw.getSimpleName()) {
            case "long", "Long" -> Long.MAX_VALUE - 7;
            case "int", "Integer" -> 70_007;
            case "double", "Double" -> 0.25;
            case "boolean" -> true;
            case "String" -> "text with é";
            case "byte[]" -> new byte[] {1, -2, 0, 127};
            default -> throw new IllegalArgumentException("no sample for " + raw);
        };
    }
}
