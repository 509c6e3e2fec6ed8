import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, integers are longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                for (skip(); text.charAt(at) != '}'; skip()) {
                    if (text.charAt(at) == ',') { at++; skip(); }
                    String key = string();
                    skip();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                at++;
                for (skip(); text.charAt(at) != ']'; skip()) {
                    if (text.charAt(at) == ',') at++;
                    list.add(value());
                }
                at++;
                return list;
            }
            case '"': return string();
            default: {
                int from = at;
                while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
                String word = text.substring(from, at);
                if (word.equals("null")) return null;
                if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
                if (word.matches("-?\\d+")) return Long.valueOf(word);
                return Double.valueOf(word);
            }
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') { out.append(c); continue; }
            c = text.charAt(++at);
            switch (c) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u': out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16)); at += 4; break;
                default: out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && " \n\r\t".indexOf(text.charAt(at)) >= 0) at++;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    /** Object with the given keys and values in turn. */
    static Map<String, Object> of(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        return map;
    }
}
