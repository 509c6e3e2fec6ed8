import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform: its store of objects with revisions, watches and conditional writes, and the calls that are duties.
 * An event states the object as it was last written, with the revision of that change.
 */
final class Platform implements AutoCloseable {
    static final class Stored {
        final long revision;
        final Object spec;
        final Object status;

        Stored(long revision, Object spec, Object status) {
            this.revision = revision;
            this.spec = spec;
            this.status = status;
        }
    }

    private static final class Event {
        final long revision;
        final String kind;
        final String name;
        final Stored stored;
        final boolean deleted;

        Event(long revision, String kind, String name, Stored stored, boolean deleted) {
            this.revision = revision;
            this.kind = kind;
            this.name = name;
            this.stored = stored;
            this.deleted = deleted;
        }
    }

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private final HttpServer server;

    /** While true, the store does nothing; calls that it has not answered get no answer, also later. */
    volatile boolean isSilent;

    Platform() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/objects/", this::objects);
        for (String path : List.of("/usage-reports", "/scaling")) {
            server.createContext(path, call -> {
                call.getRequestBody().readAllBytes();
                respond(call, 200, Map.of());
            });
        }
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }

    synchronized long put(String kind, String name, String spec) {
        Stored before = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return write(kind, name, Json.parse(spec), before == null ? null : before.status).revision;
    }

    synchronized void remove(String kind, String name) {
        delete(kind, name);
    }

    private void objects(HttpExchange call) throws IOException {
        try {
            if (isSilent) {
                stayPut(call);
                return;
            }
            String[] path = call.getRequestURI().getPath().substring("/objects/".length()).split("/");
            Map<String, String> query = query(call);
            String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            switch (call.getRequestMethod()) {
                case "GET":
                    if (path.length > 1) read(call, path);
                    else if (query.containsKey("watch")) watch(call, path[0], query);
                    else list(call, path[0]);
                    break;
                case "POST": create(call, path[0], Json.object(body)); break;
                case "PUT": replace(call, path, Json.object(body)); break;
                default:
                    boolean found;
                    synchronized (this) {
                        found = delete(path[0], path[1]);
                    }
                    respond(call, found ? 200 : 404, Map.of());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void list(HttpExchange call, String kind) throws IOException {
        Map<String, Object> page = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> items = new ArrayList<>();
            kinds.getOrDefault(kind, new TreeMap<>()).forEach((name, stored) -> items.add(json(name, stored)));
            page.put("items", items);
            page.put("has_more", false);
            page.put("as_of", revision);
        }
        respond(call, 200, page);
    }

    private void watch(HttpExchange call, String kind, Map<String, String> query)
        throws IOException, InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long deadline = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        Map<String, Object> page = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> events = events(kind, since);
            while (events.isEmpty() && System.currentTimeMillis() < deadline) {
                wait(Math.max(1, Math.min(100, deadline - System.currentTimeMillis())));
                events = events(kind, since);
                if (isSilent) break;
            }
            page.put("events", events);
            page.put("as_of", revision);
        }
        if (isSilent) stayPut(call);
        else respond(call, 200, page);
    }

    /** Leaves the channel of [call] open and silent, for longer than any caller waits. */
    private static void stayPut(HttpExchange call) throws InterruptedException {
        Thread.sleep(30_000);
        call.close();
    }

    private List<Object> events(String kind, long since) {
        List<Object> events = new ArrayList<>();
        for (Event event : history) {
            if (!event.kind.equals(kind) || event.revision <= since) continue;
            Map<String, Object> shown = new LinkedHashMap<>();
            shown.put("deleted", event.deleted);
            shown.put("object", json(event.name, event.stored));
            events.add(shown);
        }
        return events;
    }

    private void read(HttpExchange call, String[] path) throws IOException {
        Stored stored;
        synchronized (this) {
            stored = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
        }
        respond(call, stored == null ? 404 : 200, stored == null ? Map.of() : json(path[1], stored));
    }

    private void create(HttpExchange call, String kind, Map<String, Object> body) throws IOException {
        String name = (String) metadata(body).get("name");
        Stored present;
        Stored written = null;
        synchronized (this) {
            present = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
            if (present == null) written = write(kind, name, body.get("spec"), null);
        }
        respond(call, present == null ? 201 : 409, json(name, present == null ? written : present));
    }

    private void replace(HttpExchange call, String[] path, Map<String, Object> body) throws IOException {
        Object expected = metadata(body).get("revision");
        int status = 200;
        Stored result;
        synchronized (this) {
            Stored present = kinds.getOrDefault(path[0], new TreeMap<>()).get(path[1]);
            result = present;
            if (present == null) status = 404;
            else if (expected != null && (Long) expected != present.revision) status = 409;
            else if (path.length > 2) result = write(path[0], path[1], present.spec, body.get("status"));
            else result = write(path[0], path[1], body.get("spec"), present.status);
        }
        respond(call, status, result == null ? Map.of() : json(path[1], result));
    }

    private Stored write(String kind, String name, Object spec, Object status) {
        Stored stored = new Stored(++revision, spec, status);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, stored);
        history.add(new Event(revision, kind, name, stored, false));
        notifyAll();
        return stored;
    }

    private boolean delete(String kind, String name) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (stored == null) return false;
        history.add(new Event(++revision, kind, name, stored, true));
        notifyAll();
        return true;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> body) {
        return (Map<String, Object>) body.get("metadata");
    }

    private static Map<String, Object> json(String name, Stored stored) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", stored.revision);
        metadata.put("created_at", 9L);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", stored.spec);
        object.put("status", stored.status);
        return object;
    }

    private static Map<String, String> query(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        String text = call.getRequestURI().getQuery();
        if (text == null) return query;
        for (String part : text.split("&")) {
            String[] pair = part.split("=", 2);
            if (pair.length == 2) query.put(pair[0], pair[1]);
        }
        return query;
    }

    private static void respond(HttpExchange call, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }
}
