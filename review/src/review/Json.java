package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, whole numbers are longs. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private char skip() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        char first = skip();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            position++;
            while (skip() != '}') {
                String name = string();
                skip();
                position++;
                map.put(name, value());
                if (skip() == ',') {
                    position++;
                }
            }
            position++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            position++;
            while (skip() != ']') {
                list.add(value());
                if (skip() == ',') {
                    position++;
                }
            }
            position++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        skip();
        StringBuilder built = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char next = text.charAt(position++);
            if (next != '\\') {
                built.append(next);
                continue;
            }
            char escape = text.charAt(position++);
            switch (escape) {
                case 'n' -> built.append('\n');
                case 'r' -> built.append('\r');
                case 't' -> built.append('\t');
                case 'b' -> built.append('\b');
                case 'f' -> built.append('\f');
                case 'u' -> {
                    built.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> built.append(escape);
            }
        }
        position++;
        return built.toString();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder built = new StringBuilder("{");
            map.forEach((name, item) -> built.append(built.length() > 1 ? "," : "")
                    .append(write(String.valueOf(name)))
                    .append(':')
                    .append(write(item)));
            return built.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder built = new StringBuilder("[");
            list.forEach(item -> built.append(built.length() > 1 ? "," : "").append(write(item)));
            return built.append(']').toString();
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
        }
        return String.valueOf(value);
    }
}
