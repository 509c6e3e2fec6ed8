import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 messages over plain sockets: a server with one thread for each connection, and a client. */
final class Http {
    private Http() {}

    /** Request or response as read from a connection; header names are in lower case. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() { return startLine.split(" ")[0]; }
        String uri() { return startLine.split(" ")[1]; }
        String path() { return uri().split("\\?")[0]; }
        int status() { return Integer.parseInt(startLine.split(" ")[1]); }
        String text() { return new String(body, StandardCharsets.UTF_8); }

        String query(String name) {
            int mark = uri().indexOf('?');
            if (mark < 0) return null;
            for (String part : uri().substring(mark + 1).split("&")) {
                if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
            }
            return null;
        }
    }

    interface Handler {
        /** Handles one request; returns false to close the connection. */
        boolean handle(Message request, Socket socket, OutputStream out) throws IOException;
    }

    /** Server that can be closed, with all its connections, and opened again at the same port. */
    static final class Server {
        final String host;
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listener;
        private int port;

        Server(String host, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            open();
        }

        int port() { return port; }

        String address() { return host + ":" + port; }

        synchronized void open() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(host, port), 256);
            port = opened.getLocalPort();
            listener = opened;
            thread(() -> accept(opened));
        }

        /** Closes the listener and resets all connections. */
        synchronized void close() {
            try {
                listener.close();
            } catch (IOException ignored) {
                // The listener is closed already.
            }
            sockets.forEach(Http::reset);
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Socket socket = from.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread(() -> serve(socket));
                } catch (IOException ended) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 16_384);
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.handle(request, socket, out)) return;
                }
            } catch (IOException | RuntimeException ended) {
                // The peer has closed the connection, or the stand-in has reset it.
            } finally {
                sockets.remove(socket);
            }
        }
    }

    static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // The connection has ended already.
        }
    }

    /** Reads one message with its body; null if the connection has ended before it. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        if (isResponse && (message.status() == 204 || message.status() / 100 == 1)) return message;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                if (size > 0) body.write(exactly(in, size));
                line(in);
                if (size == 0) break;
            }
        } else if (message.headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(message.headers.get("content-length"))));
        }
        message.body = body.toByteArray();
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        Message message = new Message();
        message.startLine = first;
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            message.headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("body ended after " + bytes.length + " of " + size + " bytes");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (out.size() == 0) return null;
                throw new IOException("line without an end");
            }
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Head of a response with the given header fields, as NAME, VALUE in turn. */
    static String head(int status, String... fields) {
        StringBuilder out = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
        for (int i = 0; i < fields.length; i += 2) out.append(fields[i]).append(": ").append(fields[i + 1]).append("\r\n");
        return out.append("\r\n").toString();
    }

    static void json(OutputStream out, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head(status, "Content-Type", "application/json", "Content-Length", "" + bytes.length).getBytes());
        all.writeBytes(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Sends one request on a new connection to {@code address} and returns the response. */
    static Message call(String address, String method, String uri, int timeoutMs, byte[] body, String... fields)
        throws IOException {
        String[] parts = address.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), method, uri, body, fields);
            Message response = read(new java.io.BufferedInputStream(socket.getInputStream()), true);
            if (response == null) throw new IOException("connection closed without a response");
            return response;
        }
    }

    static void send(OutputStream out, String method, String uri, byte[] body, String... fields) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
        for (int i = 0; i < fields.length; i += 2) head.append(fields[i]).append(": ").append(fields[i + 1]).append("\r\n");
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
        if (body != null) all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
