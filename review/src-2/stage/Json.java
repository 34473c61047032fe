package stage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reader and writer of JSON, for stand-ins. Objects are maps, arrays are lists, numbers are doubles. */
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

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> rows(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    private void blank() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blank();
        char first = text.charAt(at);
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (blank(); text.charAt(at) != '}'; blank()) {
                if (text.charAt(at) == ',') {
                    at++;
                    blank();
                }
                String key = string();
                blank();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (blank(); text.charAt(at) != ']'; blank()) {
                if (text.charAt(at) == ',') {
                    at++;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (first == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder built = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> built.append('\n');
                    case 't' -> built.append('\t');
                    case 'r' -> built.append('\r');
                    case 'u' -> {
                        built.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> built.append(escaped);
                }
            } else {
                built.append(next);
            }
        }
        at++;
        return built.toString();
    }
}
