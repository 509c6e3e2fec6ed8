import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Stand-in for a worker: answers plain requests, and streams the output of a request for tokens. That output depends
 * only on the request's id and body, so a run can go on at any worker.
 */
final class Worker {
    /** Arrival of a request that the worker began to run. */
    record Run(long atMs, String worker, String id, String path, String tenant, long after) {}

    /** All requests that any worker began to run. */
    static final List<Run> RUNS = new ArrayList<>();

    final String id;
    private final String service;
    private final String zone;
    private final String model;
    private final int slots;
    private final HttpServer server;
    private final long bornMs = System.currentTimeMillis();
    private long version = 1;
    private long orders = 0;
    private int running = 0;

    /** Pause before each event of a stream, and before the answer to a plain request. */
    volatile long eventMs = 40;
    volatile int events = 25;

    /** Size of the answer to a plain request; 0 for a short text. */
    volatile int answerBytes = 0;

    /** Number of events of the output for an item, where it is not [events]. */
    static final Map<String, Integer> EVENTS_BY_ID = new java.util.concurrent.ConcurrentHashMap<>();

    Worker(String host, String id, String service, String zone, String model, int slots) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.model = model;
        this.slots = slots;
        server = HttpServer.create(new InetSocketAddress(host, 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(runnable -> {
            Thread thread = new Thread(runnable);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Address in the worker's entry, where it is not the worker's own. */
    volatile String listedAddress = null;

    /** Called with the holder and the generation number of an order as it arrives. */
    volatile java.util.function.BiConsumer<String, Long> onOrder = (holder, fence) -> {};

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** The worker's entry in the platform's store. */
    synchronized Map<String, Object> entry() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", listedAddress == null ? address() : listedAddress);
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", (long) slots);
        entry.put("state", "ready");
        entry.put("cold_left_ms", 0L);
        entry.put("stage", "both");
        entry.put("sequence", orders);
        entry.put("born", bornMs);
        if (model != null) entry.put("models", models());
        return entry;
    }

    private List<Object> models() {
        return List.of(Map.of("name", model, "version", version, "adapters", List.of()));
    }

    private void handle(HttpExchange call) throws IOException {
        try (call) {
            byte[] body = call.getRequestBody().readAllBytes();
            String path = call.getRequestURI().getPath();
            String expected = call.getRequestHeaders().getFirst("Guavashore-Expect-Instance");
            String request = call.getRequestHeaders().getFirst("Guavashore-Request-Id");
            if (request != null) call.getResponseHeaders().set("Guavashore-Request-Id", request);
            if (expected != null && !expected.equals(id)) {
                notRun(call, 421);
            } else if (path.equals("/report")) {
                report(call);
            } else if (path.equals("/order")) {
                order(call, Json.object(new String(body, StandardCharsets.UTF_8)));
            } else if (path.equals("/health")) {
                call.getResponseHeaders().set("Guavashore-Instance-Id", id);
                call.sendResponseHeaders(200, -1);
            } else if (request == null) {
                notRun(call, 400);
            } else {
                run(call, request, path, body);
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void notRun(HttpExchange call, int status) throws IOException {
        call.getResponseHeaders().set("Guavashore-Not-Executed", "1");
        call.sendResponseHeaders(status, -1);
    }

    private synchronized void report(HttpExchange call) throws IOException {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("stage", "both");
        report.put("models", models());
        report.put("busy", false);
        report.put("sequence", orders);
        report.put("num_waiting", 0L);
        report.put("num_running", (long) running);
        report.put("kv_used", 0L);
        report.put("kv_total", 90_000L);
        report.put("handles", 0L);
        report.put("born", bornMs);
        byte[] bytes = Json.write(report).getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, bytes.length);
        call.getResponseBody().write(bytes);
    }

    private synchronized void order(HttpExchange call, Map<String, Object> order) throws IOException {
        Record.line("worker %s got order %s", id, Json.write(order));
        onOrder.accept(order.get("holder").toString(), (long) order.get("fence"));
        Object expected = order.get("expect");
        if (expected != null && (long) expected != orders) {
            call.sendResponseHeaders(409, -1);
            return;
        }
        orders++;
        version = (long) order.get("version");
        call.sendResponseHeaders(202, -1);
    }

    private void run(HttpExchange call, String request, String path, byte[] body) throws IOException, InterruptedException {
        synchronized (this) {
            if (running >= slots) {
                notRun(call, 503);
                return;
            }
            running++;
        }
        try {
            String tenant = call.getRequestHeaders().getFirst("Guavashore-Tenant");
            String last = call.getRequestHeaders().getFirst("Last-Event-Id");
            long after = last == null ? 0 : Long.parseLong(last);
            synchronized (RUNS) {
                RUNS.add(new Run(Record.ms(), id, request, path, tenant, after));
            }
            Record.line("worker %s runs %s tenant=%s after=%d", id, request, tenant, after);
            call.getResponseHeaders().set("Guavashore-Server-Signature", "s-" + id + "-" + request);
            if (model == null) {
                Thread.sleep(eventMs);
                byte[] answer = ("answer to " + request).getBytes(StandardCharsets.UTF_8);
                if (answerBytes > 0) answer = java.util.Arrays.copyOf(answer, answerBytes);
                call.sendResponseHeaders(200, answer.length);
                call.getResponseBody().write(answer);
                Record.line("worker %s has sent its whole answer to %s, %d bytes", id, request, answer.length);
            } else {
                stream(call, request, body, after);
            }
        } finally {
            synchronized (this) {
                running--;
            }
        }
    }

    private void stream(HttpExchange call, String request, byte[] body, long after) throws IOException, InterruptedException {
        call.getResponseHeaders().set("Content-Type", "text/event-stream");
        call.getResponseHeaders().set("Guavashore-Weight-Versions", Long.toString(version));
        call.sendResponseHeaders(200, 0);
        long last = EVENTS_BY_ID.getOrDefault(request, events);
        for (long number = after + 1; number <= last; number++) {
            Thread.sleep(eventMs);
            String event = "id: " + number + "\ndata: " + eventOf(request, body, number) + "\n\n";
            call.getResponseBody().write(event.getBytes(StandardCharsets.UTF_8));
            call.getResponseBody().flush();
        }
    }

    /** Data of event [number] of the output for [request] with [body]. */
    static String eventOf(String request, byte[] body, long number) {
        return request + "/" + new String(body, StandardCharsets.UTF_8) + "/" + number;
    }

    /** The whole output: the data of all events in order, separated by line feeds. */
    String output(String request, String body) {
        StringBuilder text = new StringBuilder();
        int last = EVENTS_BY_ID.getOrDefault(request, events);
        for (int number = 1; number <= last; number++) {
            if (number > 1) text.append('\n');
            text.append(eventOf(request, body.getBytes(StandardCharsets.UTF_8), number));
        }
        return text.toString();
    }
}
