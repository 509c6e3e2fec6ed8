import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/** Stand-in for the platform: its store, with one linear history, and the intake of usage reports and scaling orders. */
final class Platform {
    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    /** Call of a holder of a duty. */
    record DutyCall(long atMs, String path, String holder, long fence, String body) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;
    private final HttpServer server;

    /** Addresses at which single machines reach the store, by machine; true while the store turns the machine away. */
    private final Map<String, HttpServer> serverByMachine = new HashMap<>();
    private final Map<String, Boolean> turnedAway = new java.util.concurrent.ConcurrentHashMap<>();

    /** Names of objects whose next creation is carried out but not answered. */
    final java.util.Set<String> unanswered = java.util.concurrent.ConcurrentHashMap.newKeySet();
    final List<DutyCall> dutyCalls = new ArrayList<>();

    /** Time that the store takes to answer a call other than a watch. */
    volatile long answerMs = 4;

    /** True while the store refuses all calls with 503. */
    volatile boolean isBusy = false;

    /** Called with kind and name after an object was created, before the answer is sent. */
    volatile BiConsumer<String, String> onCreated = (kind, name) -> {};

    Platform(String host) throws IOException {
        server = listen(host, null);
    }

    private HttpServer listen(String host, String machine) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/objects/", call -> objects(call, machine));
        server.createContext("/usage-reports", this::duty);
        server.createContext("/scaling", this::duty);
        server.start();
        return server;
    }

    /** Address at which [machine] alone reaches the store. */
    synchronized String addressFor(String machine) throws IOException {
        HttpServer own = listen(server.getAddress().getAddress().getHostAddress(), machine);
        serverByMachine.put(machine, own);
        return own.getAddress().getAddress().getHostAddress() + ":" + own.getAddress().getPort();
    }

    /** While [isTurnedAway], the store answers [machine] with 503 and serves the others. */
    void turnAway(String machine, boolean isTurnedAway) {
        turnedAway.put(machine, isTurnedAway);
        Record.line("store turns %s away: %s", machine, isTurnedAway);
    }

    private boolean refuses(String machine) {
        return isBusy || (machine != null && turnedAway.getOrDefault(machine, false));
    }

    /** Writes an object as an operator, a trainer or a worker does; a write that changes nothing has no effect. */
    synchronized void put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> present = of(kind).get(name);
        if (present != null && Json.write(present.get("spec")).equals(Json.write(spec))) return;
        write(kind, name, spec, present == null ? null : present.get("status"));
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> removed = of(kind).remove(name);
        if (removed != null) record(new Event(++revision, kind, removed, true));
    }

    synchronized Map<String, Object> get(String kind, String name) {
        return of(kind).get(name);
    }

    private TreeMap<String, Map<String, Object>> of(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private Map<String, Object> write(String kind, String name, Object spec, Object status) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", ++revision);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        if (status != null) object.put("status", status);
        of(kind).put(name, object);
        record(new Event(revision, kind, object, false));
        return object;
    }

    private void record(Event event) {
        history.add(event);
        notifyAll();
    }

    private void objects(HttpExchange call, String machine) throws IOException {
        try (call) {
            String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (refuses(machine)) {
                if (!call.getRequestMethod().equals("GET")) {
                    Record.line("store answers 503 to %s %s of %s", call.getRequestMethod(), call.getRequestURI(), machine);
                }
                answer(call, 503, Map.of());
                return;
            }
            String[] path = call.getRequestURI().getPath().substring("/objects/".length()).split("/");
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            if (query.containsKey("watch")) {
                watch(call, machine, path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                return;
            }
            Object[] result = carryOut(call.getRequestMethod(), path, query, body);
            if (call.getRequestMethod().equals("POST") && (int) result[0] == 201) {
                String name = Json.map(Json.map(result[1]).get("metadata")).get("name").toString();
                onCreated.accept(path[0], name);
                if (unanswered.remove(name)) {
                    Record.line("store has created %s for %s, its answer is lost", name, machine);
                    return;
                }
            }
            Thread.sleep(answerMs);
            answer(call, (int) result[0], result[1]);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private synchronized Object[] carryOut(String method, String[] path, Map<String, String> query, String body) {
        TreeMap<String, Map<String, Object>> objects = of(path[0]);
        if (method.equals("GET")) {
            if (path.length > 1) {
                Map<String, Object> object = objects.get(path[1]);
                return object == null ? new Object[] {404, Map.of()} : new Object[] {200, object};
            }
            String after = query.get("after");
            Map<String, Object> page = new LinkedHashMap<>();
            page.put("items", new ArrayList<Object>(after == null ? objects.values() : objects.tailMap(after, false).values()));
            page.put("has_more", false);
            page.put("as_of", revision);
            return new Object[] {200, page};
        }
        if (method.equals("DELETE")) {
            if (!objects.containsKey(path[1])) return new Object[] {404, Map.of()};
            remove(path[0], path[1]);
            return new Object[] {200, Map.of()};
        }
        Map<String, Object> sent = Json.object(body);
        Map<String, Object> metadata = Json.map(sent.get("metadata"));
        if (method.equals("POST")) {
            String name = metadata.get("name").toString();
            Map<String, Object> present = objects.get(name);
            if (present != null) return new Object[] {409, present};
            return new Object[] {201, write(path[0], name, sent.get("spec"), null)};
        }
        Map<String, Object> present = objects.get(path[1]);
        if (present == null) return new Object[] {404, Map.of()};
        Object expected = metadata == null ? null : metadata.get("revision");
        if (expected != null && !expected.equals(Json.map(present.get("metadata")).get("revision"))) {
            return new Object[] {409, present};
        }
        boolean isStatus = path.length > 2;
        Object spec = isStatus ? present.get("spec") : sent.get("spec");
        Object status = isStatus ? sent.get("status") : present.get("status");
        return new Object[] {200, write(path[0], path[1], spec, status)};
    }

    private void watch(HttpExchange call, String machine, String kind, long since, long waitMs) throws IOException, InterruptedException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            long deadlineNs = System.nanoTime() + waitMs * 1_000_000L;
            while (history.stream().noneMatch(event -> event.kind.equals(kind) && event.revision > since)) {
                long leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) break;
                wait(leftMs);
            }
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.kind.equals(kind) && event.revision > since) {
                    Map<String, Object> entry = new LinkedHashMap<>();
                    entry.put("object", event.object);
                    entry.put("deleted", event.deleted);
                    events.add(entry);
                }
            }
            answer.put("events", events);
            answer.put("as_of", revision);
        }
        if (refuses(machine)) answer(call, 503, Map.of());
        else answer(call, 200, answer);
    }

    private void duty(HttpExchange call) throws IOException {
        try (call) {
            String body = new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String holder = call.getRequestHeaders().getFirst("Guavashore-Duty-Holder");
            long fence = Long.parseLong(call.getRequestHeaders().getFirst("Guavashore-Fence-Token"));
            DutyCall dutyCall = new DutyCall(Record.ms(), call.getRequestURI().getPath(), holder, fence, body);
            synchronized (dutyCalls) {
                dutyCalls.add(dutyCall);
            }
            Record.line("platform got %s holder=%s fence=%d %s", dutyCall.path, holder, fence, body);
            answer(call, 200, Map.of());
        }
    }

    /** Holder that made the last duty call; null before the first. */
    String lastHolder() {
        synchronized (dutyCalls) {
            return dutyCalls.isEmpty() ? null : dutyCalls.get(dutyCalls.size() - 1).holder;
        }
    }

    private static void answer(HttpExchange call, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
    }

    private static Map<String, String> query(String query) {
        Map<String, String> values = new HashMap<>();
        if (query == null) return values;
        for (String part : query.split("&")) {
            int equals = part.indexOf('=');
            values.put(part.substring(0, equals), java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
