import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters press with uploads to one service, beyond what its workers take, so that the VM has no room left for
 * bodies. Meanwhile others look up prices at another service, with short bodies in chunks. Without trouble, the uploads
 * keep to their usual rate.
 */
final class UploadBurst extends Case {
    private static final int USUAL_PER_S = 25;
    private static final int BURST_PER_S = 250;
    private static final int PRICES_PER_S = 160;
    private static final long BURST_MS = 6_000;
    private static final long DURATION_MS = 9_000;
    private final Map<String, Integer> sentBytes = new ConcurrentHashMap<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final AtomicInteger open = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Case.main(new UploadBurst());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        List<Worker> prices = new ArrayList<>();
        for (int n = 1; n <= 2; n++) {
            prices.add(deployment.addWorker("i-price-" + n, "wuno96b", "z" + n, false, 6));
            Worker photos = deployment.addWorker("i-photo-" + n, "foka3", "z" + n, false, 6);
            photos.plainMs = 200;
            photos.isQuiet = true;
        }
        prices.forEach(worker -> worker.isQuiet = true);
        deployment.addWorker("i-engine-1", "huvo11a", "z2", true, 12);
        deployment.store.put("config", "main", declaration());
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        Vm vm = deployment.vms.get(0);
        long startMs = Store.now();
        Http.thread(() -> uploads(vm, startMs));
        Random random = new Random(7);
        for (int n = 0; Store.now() < startMs + DURATION_MS; n++) {
            String id = "price-" + n;
            int bytes = 200 + random.nextInt(3_400);
            sentBytes.put(id, bytes);
            Http.thread(() -> send(vm, "/lohu930/2f", id, bytes, true));
            Store.pause(1_000 / PRICES_PER_S);
        }
        for (long untilMs = Store.now() + 15_000; open.get() > 0 && Store.now() < untilMs;) Store.pause(50);
        List<String> broken = new ArrayList<>();
        int runs = 0;
        for (Worker worker : prices) {
            for (Map.Entry<String, Integer> run : worker.bodyBytes.entrySet()) {
                runs++;
                String id = run.getKey().split("#")[0];
                if (run.getValue().equals(sentBytes.get(id))) continue;
                broken.add(id + " was sent with a body of " + sentBytes.get(id) + " bytes, was answered " + answers.get(id)
                    + ", and ran at " + worker.id + " with a body of " + run.getValue() + " bytes");
            }
        }
        broken.forEach(deployment.record::line);
        for (String kind : List.of("price", "photo")) {
            Map<String, Integer> counts = new java.util.TreeMap<>();
            answers.forEach((id, answer) -> { if (id.startsWith(kind)) counts.merge(answer, 1, Integer::sum); });
            deployment.record.line("answers to " + kind + " requests: " + counts);
        }
        deployment.record.line("runs of price requests: " + runs + "; with another body: " + broken.size());
        return broken.isEmpty() ? null : broken.size() + " requests ran with another body than was sent: " + broken.get(0);
    }

    private void uploads(Vm vm, long startMs) {
        Random random = new Random(11);
        for (int n = 0; Store.now() < startMs + DURATION_MS; n++) {
            String id = "photo-" + n;
            int bytes = 40_000 + random.nextInt(22_000);
            Http.thread(() -> send(vm, "/foto77/up", id, bytes, false));
            boolean isBurst = TROUBLE && Store.now() - startMs > 1_000 && Store.now() - startMs < 1_000 + BURST_MS;
            Store.pause(1_000 / (isBurst ? BURST_PER_S : USUAL_PER_S));
        }
    }

    private void send(Vm vm, String uri, String id, int bytes, boolean inChunks) {
        open.incrementAndGet();
        String[] parts = vm.front().split(":");
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'p');
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(11_000);
            String head = "POST " + uri + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Api-Key: " + Deployment.KEY
                + "\r\nGuavashore-Request-Id: " + id + "\r\nGuavashore-Deadline-Ms: 10000\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            if (inChunks) {
                all.writeBytes((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
                for (int from = 0; from < bytes; from += 500) {
                    int size = Math.min(500, bytes - from);
                    all.writeBytes((Integer.toHexString(size) + "\r\n").getBytes());
                    all.write(body, from, size);
                    all.writeBytes("\r\n".getBytes());
                }
                all.writeBytes("0\r\n\r\n".getBytes());
            } else {
                all.writeBytes((head + "Content-Length: " + bytes + "\r\n\r\n").getBytes());
                all.writeBytes(body);
            }
            socket.getOutputStream().write(all.toByteArray());
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            answers.put(id, answer == null ? "closed" : "" + answer.status());
        } catch (IOException e) {
            answers.put(id, "no answer");
        } finally {
            open.decrementAndGet();
        }
    }

    private static Map<String, Object> declaration() {
        Map<String, Object> declaration = Deployment.declaration(7, 12);
        List<Object> routes = new ArrayList<>((List<?>) declaration.get("routes"));
        routes.add(Json.of("name", "r-photos", "host", Deployment.HOST, "path_prefix", "/foto77/", "kind", "safe", "timeout_ms", 10000L,
            "slo_ms", 2500L, "priority", 2L, "service", "foka3", "max_attempts", 2L, "public", false));
        declaration.put("routes", routes);
        List<Object> services = new ArrayList<>((List<?>) declaration.get("services"));
        services.add(Json.of("name", "foka3", "health_path", "/health", "max_conns", 1000L, "protocol", "h1", "tls", false));
        declaration.put("services", services);
        return declaration;
    }
}
