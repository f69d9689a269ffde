import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON bodies of the stand-ins. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) new Json(text).value();
    }

    private char skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = skipSpace();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (skipSpace() != '}') {
                if (text.charAt(at) == ',') {
                    at++;
                    skipSpace();
                }
                String key = string();
                skipSpace();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (skipSpace() != ']') {
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
        int start = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
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

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder built = new StringBuilder("{");
            map.forEach((key, each) -> built.append(built.length() > 1 ? "," : "")
                    .append(write(key.toString()))
                    .append(':')
                    .append(write(each)));
            return built.append('}').toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder built = new StringBuilder("[");
            list.forEach(each -> built.append(built.length() > 1 ? "," : "").append(write(each)));
            return built.append(']').toString();
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        return String.valueOf(value);
    }
}
