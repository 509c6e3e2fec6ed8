import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return (List<Object>) value;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return readObject();
        if (c == '[') return readList();
        if (c == '"') return readString();
        if (text.startsWith("true", at)) return literal(4, true);
        if (text.startsWith("false", at)) return literal(5, false);
        if (text.startsWith("null", at)) return literal(4, null);
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
        String number = text.substring(start, at);
        if (number.matches("-?[0-9]+")) return Long.valueOf(number);
        return Double.valueOf(number);
    }

    private Object literal(int length, Object value) {
        at += length;
        return value;
    }

    private Map<String, Object> readObject() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String name = readString();
            space();
            at++;
            map.put(name, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return map;
    }

    private List<Object> readList() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return list;
    }

    private String readString() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                if (!first) out.append(',');
                first = false;
                writeString(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                if (i > 0) out.append(',');
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String string) {
            writeString(string, out);
        } else {
            out.append(value);
        }
    }

    private static void writeString(String value, StringBuilder out) {
        out.append('"');
        for (char c : value.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < 0x20) out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }
}
