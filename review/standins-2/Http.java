import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 client that uses a new connection for each call. */
final class Http {
    /** Response; status 0 means that there was no complete one, for the reason in the body. */
    record Response(int status, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static Response call(String address, int timeoutMs, String method, String path, Map<String, String> headers, String body) {
        String host = address.substring(0, address.indexOf(':'));
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) head.append("Content-Length: ").append(bytes.length).append("\r\n");
        head.append("\r\n");
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), Math.min(1_000, timeoutMs));
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            return read(socket, deadlineNs);
        } catch (IOException e) {
            return new Response(0, Map.of(), e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static Response read(Socket socket, long deadlineNs) throws IOException {
        InputStream in = socket.getInputStream();
        String statusLine = line(socket, in, deadlineNs);
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(socket, in, deadlineNs); !line.isEmpty(); line = line(socket, in, deadlineNs)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(line(socket, in, deadlineNs).trim(), 16);
                for (int i = 0; i < size; i++) body.write(next(socket, in, deadlineNs));
                line(socket, in, deadlineNs);
                if (size == 0) break;
            }
        } else {
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            for (int i = 0; i < length; i++) body.write(next(socket, in, deadlineNs));
        }
        return new Response(status, headers, body.toByteArray());
    }

    private static String line(Socket socket, InputStream in, long deadlineNs) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = next(socket, in, deadlineNs); b != '\n'; b = next(socket, in, deadlineNs)) if (b != '\r') line.write(b);
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static int next(Socket socket, InputStream in, long deadlineNs) throws IOException {
        long leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) throw new IOException("no complete response in time");
        socket.setSoTimeout((int) leftMs);
        int b = in.read();
        if (b < 0) throw new EOFException("connection closed before the end of the response");
        return b;
    }
}
