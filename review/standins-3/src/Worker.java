import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** A worker of a plain service or, with a model, of a pool of engines. */
final class Worker implements AutoCloseable {
    static final class Run {
        final long atMs;
        final String id;
        final String path;

        Run(long atMs, String id, String path) {
            this.atMs = atMs;
            this.id = id;
            this.path = path;
        }
    }

    final String id;
    private final String service;
    private final String zone;
    private final String model;
    private final HttpServer server;
    private final long bornMs = System.currentTimeMillis();
    private long sequence;
    volatile long version = 1;

    /** Time that a plain request takes. */
    volatile long workMs = 30;
    volatile int events = 5;
    volatile long eventMs = 20;

    /** Requests that began to run. */
    final List<Run> runs = new ArrayList<>();

    Worker(String id, String service, String zone, String model) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.model = model;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
    }

    /** Entry of the worker in the store. */
    String entry(String state) {
        String models = model == null ? "" : ",\"stage\":\"both\",\"models\":[{\"name\":\"" + model + "\",\"version\":"
            + version + ",\"adapters\":[]}]";
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getAddress().getPort()
            + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
            + "\",\"cold_left_ms\":0,\"born\":" + bornMs + models + ",\"sequence\":" + sequence + "}";
    }

    /** Ends the worker: its channels are closed and new ones refused. */
    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange call) throws IOException {
        try (call) {
            byte[] body = call.getRequestBody().readAllBytes();
            String path = call.getRequestURI().getPath();
            String request = call.getRequestHeaders().getFirst("Guavashore-Request-Id");
            if (request != null) call.getResponseHeaders().set("Guavashore-Request-Id", request);
            String expected = call.getRequestHeaders().getFirst("Guavashore-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                call.getResponseHeaders().set("Guavashore-Instance-Id", id);
                call.sendResponseHeaders(421, -1);
                return;
            }
            if (path.equals("/report")) {
                answer(call, 200, "{\"stage\":\"both\",\"models\":[{\"name\":\"" + model + "\",\"version\":" + version
                    + ",\"adapters\":[]}],\"busy\":false,\"sequence\":" + sequence + ",\"born\":" + bornMs + "}");
                return;
            }
            if (path.equals("/order")) {
                order(call, new String(body, StandardCharsets.UTF_8));
                return;
            }
            synchronized (runs) {
                runs.add(new Run(Vm.nowMs(), request, path));
            }
            call.getResponseHeaders().set("Guavashore-Server-Signature", "signed-" + id + "-" + request);
            if (model == null) plain(call, request);
            else stream(call, request);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void plain(HttpExchange call, String request) throws IOException, InterruptedException {
        Thread.sleep(workMs);
        answer(call, 200, "answer of " + id + " to " + request);
    }

    private void stream(HttpExchange call, String request) throws IOException, InterruptedException {
        String after = call.getRequestHeaders().getFirst("Last-Event-Id");
        call.getResponseHeaders().set("Guavashore-Weight-Versions", Long.toString(version));
        call.getResponseHeaders().set("Content-Type", "text/event-stream");
        call.sendResponseHeaders(200, 0);
        for (long number = after == null ? 1 : Long.parseLong(after) + 1; number <= events; number++) {
            Thread.sleep(eventMs);
            String event = "id: " + number + "\ndata: " + request + "/" + number + "\n\n";
            call.getResponseBody().write(event.getBytes(StandardCharsets.UTF_8));
            call.getResponseBody().flush();
        }
    }

    private synchronized void order(HttpExchange call, String body) throws IOException {
        Map<String, Object> order = Json.object(body);
        Object expect = order.get("expect");
        if (expect != null && (Long) expect != sequence) {
            call.sendResponseHeaders(409, -1);
            return;
        }
        sequence++;
        version = (Long) order.get("version");
        call.sendResponseHeaders(202, -1);
    }

    private static void answer(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
    }
}
