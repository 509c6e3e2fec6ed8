import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are kept as Long or Double. */
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

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            space();
            while (text.charAt(at) != '}') {
                space();
                String key = string();
                space();
                at++;
                map.put(key, value());
                space();
                if (text.charAt(at) == ',') at++;
                space();
            }
            at++;
            return map;
        }
        if (c == '[') {
            at++;
            List<Object> list = new ArrayList<>();
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
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(e);
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
        if (value instanceof Map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String comma = "";
            for (Object element : (List<?>) value) {
                out.append(comma);
                write(element, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < 0x20) out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
