import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store and the calls of its singleton duties. Each VM has a port of its own.
 * Answers take 4 ms.
 */
final class Store {
    private record Stored(long revision, long createdAt, Object spec, Object status) {}

    private record Event(long revision, String kind, String name, Stored stored, boolean deleted) {}

    /** Port for one VM. */
    final class Port {
        final String vm;
        final Http.Server server;

        Port(String vm) throws IOException {
            this.vm = vm;
            server = new Http.Server("127.0.0.1", (request, socket, out) -> handle(this, request, socket, out));
        }
    }

    private static final long ANSWER_MS = 4;
    private final Map<String, TreeMap<String, Stored>> kinds = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;

    synchronized Port port(String vm) throws IOException {
        return new Port(vm);
    }

    synchronized void put(String kind, String name, Object spec) {
        Stored present = kind(kind).get(name);
        write(kind, name, spec, present == null ? null : present.status);
    }

    synchronized void remove(String kind, String name) {
        Stored present = kind(kind).remove(name);
        if (present != null) record(new Event(++revision, kind, name, present, true));
    }

    synchronized Object spec(String kind, String name) {
        Stored present = kind(kind).get(name);
        return present == null ? null : present.spec;
    }

    /** VM that holds the coordinator's lease; null if none does. */
    @SuppressWarnings("unchecked")
    String coordinator() {
        Map<String, Object> lease = (Map<String, Object>) spec("leases", "coordinator");
        if (lease == null || Boolean.TRUE.equals(lease.get("released"))) return null;
        return (String) ((Map<String, Object>) lease.get("holder")).get("vm");
    }

    private boolean handle(Port port, Http.Message request, Socket socket, OutputStream out) throws IOException {
        pause(ANSWER_MS);
        if (!request.path().startsWith("/objects/")) {
            Http.json(out, 200, "{}");
            return true;
        }
        String[] path = request.path().substring("/objects/".length()).split("/");
        String name = path.length > 1 ? path[1] : null;
        Object[] result;
        switch (request.method()) {
            case "GET":
                result = name != null ? read(path[0], name) : collection(path[0], request);
                break;
            case "POST": {
                Map<String, Object> body = Json.object(request.text());
                name = nameIn(body);
                result = create(path[0], name, body.get("spec"));
                break;
            }
            case "PUT":
                result = replace(path, Json.object(request.text()));
                break;
            default:
                result = delete(path[0], name);
        }
        Http.json(out, (int) result[0], Json.write(result[1]));
        return true;
    }

    private Object[] collection(String kind, Http.Message request) {
        String watch = request.query("watch");
        synchronized (this) {
            if (watch == null) return new Object[] {200, listing(kind)};
            long since = Long.parseLong(watch);
            long untilMs = now() + Long.parseLong(request.query("wait_ms"));
            while (now() < untilMs && history.stream().noneMatch(e -> e.kind.equals(kind) && e.revision > since)) {
                try {
                    wait(Math.max(1, untilMs - now()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            List<Object> events = new ArrayList<>();
            for (Event e : history) {
                if (e.kind.equals(kind) && e.revision > since) {
                    events.add(Json.of("object", json(e.name, e.stored), "deleted", e.deleted));
                }
            }
            return new Object[] {200, Json.of("events", events, "as_of", revision)};
        }
    }

    private Object listing(String kind) {
        List<Object> items = new ArrayList<>();
        kind(kind).forEach((name, stored) -> items.add(json(name, stored)));
        return Json.of("items", items, "has_more", false, "as_of", revision);
    }

    private synchronized Object[] read(String kind, String name) {
        Stored present = kind(kind).get(name);
        return present == null ? new Object[] {404, Json.of()} : new Object[] {200, json(name, present)};
    }

    private synchronized Object[] create(String kind, String name, Object spec) {
        Stored present = kind(kind).get(name);
        if (present != null) return new Object[] {409, json(name, present)};
        return new Object[] {201, write(kind, name, spec, null)};
    }

    private synchronized Object[] replace(String[] path, Map<String, Object> body) {
        Stored present = kind(path[0]).get(path[1]);
        if (present == null) return new Object[] {404, Json.of()};
        @SuppressWarnings("unchecked")
        Map<String, Object> metadata = (Map<String, Object>) body.get("metadata");
        Object expected = metadata == null ? null : metadata.get("revision");
        if (expected != null && (long) expected != present.revision) return new Object[] {409, json(path[1], present)};
        if (path.length > 2) return new Object[] {200, write(path[0], path[1], present.spec, body.get("status"))};
        return new Object[] {200, write(path[0], path[1], body.get("spec"), present.status)};
    }

    private synchronized Object[] delete(String kind, String name) {
        if (!kind(kind).containsKey(name)) return new Object[] {404, Json.of()};
        remove(kind, name);
        return new Object[] {200, Json.of()};
    }

    private Object write(String kind, String name, Object spec, Object status) {
        Stored present = kind(kind).get(name);
        boolean isUnchanged =
            present != null && Json.write(present.spec).equals(Json.write(spec)) && Json.write(present.status).equals(Json.write(status));
        if (isUnchanged) return json(name, present);
        Stored stored = new Stored(++revision, present == null ? revision : present.createdAt, spec, status);
        kind(kind).put(name, stored);
        record(new Event(stored.revision, kind, name, stored, false));
        return json(name, stored);
    }

    private void record(Event event) {
        history.add(event);
        notifyAll();
    }

    private TreeMap<String, Stored> kind(String kind) {
        return kinds.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private static Object json(String name, Stored stored) {
        Map<String, Object> metadata =
            Json.of("name", name, "revision", stored.revision, "created_at", stored.createdAt, "finalizers", List.of(), "deleting", false);
        return Json.of("metadata", metadata, "spec", stored.spec, "status", stored.status);
    }

    @SuppressWarnings("unchecked")
    private static String nameIn(Map<String, Object> body) {
        return (String) ((Map<String, Object>) body.get("metadata")).get("name");
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
