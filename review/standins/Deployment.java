import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: the platform's store, edge VMs on loopback addresses, and workers. */
final class Deployment {
    static final String ROOT = System.getProperty("review.root");
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String HOST = "ficu95.example";
    static final String MODEL = "daka510000";
    private static final int METRICS_PORT = 9_464;
    private String network;
    final Record record;
    final Store store = new Store();
    final List<Vm> vms = new ArrayList<>();
    final Map<String, Worker> workers = new LinkedHashMap<>();
    final Path folder;

    Deployment(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("guavashore-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Creates VMs that aren't started yet: one in each zone z1, z2, ... */
    void createVms(int count) throws IOException {
        network = freeNetwork(count);
        int base = freePorts(network, count);
        for (int n = 1; n <= count; n++) {
            String name = "edge-z" + n + "-1";
            vms.add(new Vm(name, network + n, "z" + n, base, store.port(name), folder));
        }
    }

    /** Loopback addresses at which no other process serves metrics: their port is fixed. */
    private static String freeNetwork(int count) throws IOException {
        long pid = ProcessHandle.current().pid();
        for (int n = 0; n < 50; n++) {
            String network = "127." + (1 + (pid / 200 + n) % 200) + "." + (1 + pid % 200) + ".";
            if (isFree(network, count, METRICS_PORT, METRICS_PORT + 1)) return network;
        }
        throw new IOException("no free addresses");
    }

    /** First of ten ports that are free at all addresses of the VMs. */
    private static int freePorts(String network, int count) throws IOException {
        for (int base = 20_000 + (int) (ProcessHandle.current().pid() % 500) * 20; base < 60_000; base += 20) {
            if (isFree(network, count, base, base + 10)) return base;
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(String network, int count, int from, int to) {
        for (int n = 1; n <= count; n++) {
            for (int port = from; port < to; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(network + n))) {
                    probe.setReuseAddress(true);
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Adds a worker to the service {@code service}; it serves texts if {@code isEngine}. */
    Worker addWorker(String id, String service, String zone, boolean isEngine, int slots) throws IOException {
        Worker worker = new Worker(id, service, zone, isEngine ? MODEL : null, slots, record);
        workers.put(id, worker);
        store.put("servers", id, worker.entry("ready"));
        return worker;
    }

    void declare(long version, int engineSlots) {
        store.put("config", "main", declaration(version, engineSlots));
    }

    static Map<String, Object> declaration(long version, int engineSlots) {
        Map<String, Object> texts = Json.of("name", "r-texts", "host", HOST, "path_prefix", "/pufi791/", "kind", "rollout", "timeout_ms", 10000L,
            "slo_ms", 500L, "priority", 0L, "service", "huvo11a", "max_attempts", 3L, "max_wait_s", 40.0, "due_ms", 7500L,
            "single_version", false, "public", false, "sticky", true, "resumable", true);
        Map<String, Object> plain = Json.of("name", "r-plain", "host", HOST, "path_prefix", "/lohu930/", "kind", "safe", "timeout_ms", 10000L,
            "slo_ms", 185L, "priority", 2L, "service", "wuno96b", "max_attempts", 2L, "public", false);
        Map<String, Object> engine = Json.of("slots", (long) engineSlots, "kv_capacity", 84492L, "kv_token_bytes", 262144L, "stride", 63L, "most", 12L,
            "models", List.of(Json.of("name", MODEL)));
        return Json.of("version", version, "routes", List.of(texts, plain),
            "services", List.of(
                Json.of("name", "huvo11a", "health_path", "/health", "max_conns", 150L, "protocol", "h1", "tls", false, "engine", engine),
                Json.of("name", "wuno96b", "health_path", "/health", "max_conns", 100L, "protocol", "h1", "tls", false)),
            "limits", Json.of("header_bytes", 16384L, "body_bytes", 33554432L, "header_timeout_ms", 3000L, "idle_timeout_ms", 15000L),
            "tenants", List.of(Json.of("name", "huka270", "api_keys", List.of(KEY), "priority", 1L)));
    }

    List<String> controlAddresses() {
        List<String> addresses = new ArrayList<>();
        vms.forEach(vm -> addresses.add(vm.control()));
        return addresses;
    }

    /** Waits until all VMs are ready and one is the coordinator; returns that one. Fails the case after 30 s. */
    Vm awaitReady() {
        long untilMs = Store.now() + 30_000;
        while (Store.now() < untilMs) {
            String coordinator = store.coordinator();
            if (coordinator != null && vms.stream().allMatch(Vm::isReady)) {
                Store.pause(2_500);
                String settled = store.coordinator();
                record.line("all VMs are ready; coordinator: " + settled);
                return vms.stream().filter(vm -> vm.name.equals(settled)).findFirst().orElseThrow();
            }
            Store.pause(100);
        }
        throw new CannotRun("the VMs did not become ready within 30 s; logs in " + folder);
    }

    /** Submission of a batch with the given items, in groups of {@code groupSize}. */
    static byte[] submission(List<String> items, int groupSize, int desired) {
        List<Object> list = new ArrayList<>();
        for (int n = 0; n < items.size(); n++) {
            list.add(Json.of("id", items.get(n), "path", "/pufi791/3/" + items.get(n),
                "headers", Json.of("Guavashore-Model", MODEL, "Guavashore-Token-Usage", "540,400", "Guavashore-Prompt-Prefix", "9c2e41:300,5d07b8:240"),
                "body", Base64.getEncoder().encodeToString(("prompt of " + items.get(n)).getBytes()), "tokens", 940L,
                "group", "g" + (n / groupSize)));
        }
        return Json.write(Json.of("step", 1L, "model", MODEL, "min_version", 1L, "desired", (long) desired, "items", list)).getBytes();
    }

    /** Sends one call of a requester of the tenant and records it; null if there was no response. */
    Http.Message call(Vm vm, String method, String uri, String requestId, byte[] body, int timeoutMs, String... more) {
        List<String> fields = new ArrayList<>(List.of("Host", HOST, "X-Api-Key", KEY));
        if (requestId != null) fields.addAll(List.of("Guavashore-Request-Id", requestId));
        fields.addAll(List.of(more));
        String what = method + " " + uri + (requestId == null ? "" : " id=" + requestId) + " at " + vm.name;
        try {
            Http.Message response = Http.call(vm.front(), method, uri, timeoutMs, body, fields.toArray(new String[0]));
            String text = response.text();
            record.line("requester: " + what + " -> " + response.status() + " "
                + (text.length() > 160 ? text.substring(0, 160) + "... (" + text.length() + " characters)" : text));
            return response;
        } catch (IOException e) {
            record.line("requester: " + what + " -> no response: " + e.getMessage());
            return null;
        }
    }

    /** Results of a page, or null if the response isn't one. */
    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> results(Http.Message response) {
        if (response == null || response.status() != 200) return null;
        return (List<Map<String, Object>>) (List<?>) (List<Object>) Json.object(response.text()).get("results");
    }

    void end() {
        vms.forEach(Vm::end);
    }

    /** The case can't run: exit code 2. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) { super(message); }
    }
}
