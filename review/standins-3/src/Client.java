import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Sends one request on a channel of its own. */
final class Client {
    static final class Answer {
        /** Status, or 0 if the channel ended without a complete answer. */
        final int status;
        final String head;
        final String body;

        Answer(int status, String head, String body) {
            this.status = status;
            this.head = head;
            this.body = body;
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + head + ")" : status + " " + body;
        }
    }

    static Answer get(String host, int port, String path, String hostField, List<String> fields, int timeoutMs) {
        return send("GET", host, port, path, hostField, fields, null, timeoutMs);
    }

    static Answer send(String method, String host, int port, String path, String hostField, List<String> fields,
                       String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), Math.min(1_000, timeoutMs));
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(hostField).append("\r\n");
            for (String field : fields) head.append(field).append("\r\n");
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            if (body != null) head.append("Content-Length: ").append(bytes.length).append("\r\n");
            head.append("Connection: close\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, e.getClass().getSimpleName() + ": " + e.getMessage(), "");
        }
    }

    private static Answer read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) return new Answer(0, "closed within the head", "");
            head.append((char) next);
        }
        String text = head.toString();
        String length = field(text, "Content-Length");
        byte[] body = length == null ? in.readAllBytes() : in.readNBytes(Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) return new Answer(0, "closed within the body", "");
        return new Answer(Integer.parseInt(text.split(" ")[1]), text, new String(body, StandardCharsets.UTF_8));
    }

    static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }
}
