import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String name = (String) value();
                next();
                at++;
                map.put(name, value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        return first == '"' ? string() : word();
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char character = text.charAt(at++);
            if (character == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> result.append('\n');
                    case 't' -> result.append('\t');
                    case 'r' -> result.append('\r');
                    case 'b' -> result.append('\b');
                    case 'f' -> result.append('\f');
                    case 'u' -> {
                        result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> result.append(escaped);
                }
            } else {
                result.append(character);
            }
        }
        at++;
        return result.toString();
    }

    private Object word() {
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "null" -> null;
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            default -> Double.valueOf(word);
        };
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder result = new StringBuilder("{");
            map.forEach((name, inner) -> result.append(result.length() > 1 ? "," : "")
                    .append(quote(String.valueOf(name)))
                    .append(':')
                    .append(write(inner)));
            return result.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder result = new StringBuilder("[");
            list.forEach(inner -> result.append(result.length() > 1 ? "," : "").append(write(inner)));
            return result.append(']').toString();
        }
        if (value instanceof Double number && number == Math.rint(number) && Math.abs(number) < 1e15) {
            return Long.toString(number.longValue());
        }
        return value instanceof String text ? quote(text) : String.valueOf(value);
    }

    private static String quote(String text) {
        StringBuilder result = new StringBuilder("\"");
        for (char character : text.toCharArray()) {
            if (character == '"' || character == '\\') {
                result.append('\\').append(character);
            } else if (character < ' ') {
                result.append("\\u%04x".formatted((int) character));
            } else {
                result.append(character);
            }
        }
        return result.append('"').toString();
    }
}
