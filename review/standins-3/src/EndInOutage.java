import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A trainer ends a batch submission while the store is down, and does not ask again. */
final class EndInOutage {
    private static final String CONFIG = "{\"version\":1,\"routes\":["
        + "{\"name\":\"r\",\"host\":\"lots.example\",\"path_prefix\":\"/rolls/\","
        + "\"kind\":\"rollout\",\"timeout_ms\":10000,\"slo_ms\":500,\"priority\":0,\"service\":\"engines\","
        + "\"max_attempts\":3,\"max_wait_s\":60.0,\"due_ms\":7500,\"single_version\":false,\"public\":false,"
        + "\"resumable\":true}],"
        + "\"services\":[{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":100,"
        + "\"engine\":{\"slots\":2,\"kv_capacity\":80000,\"models\":[{\"name\":\"m0\"}]}}],"
        + "\"tenants\":[{\"name\":\"weavers\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    private static final long OUTAGE_MS = 4_500;
    private static final long CONTACT_MS = 3_000;
    private static final long ACK_MS = 4_000;
    private static final long CANCEL_MS = 3_000;
    private static final List<String> KEY = List.of("X-Api-Key: key-1");

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        List<Vm> vms = new ArrayList<>();
        List<Worker> workers = new ArrayList<>();
        try (Record record = new Record(Path.of(arguments[0])); Platform platform = new Platform()) {
            try {
                result = run(trouble, record, platform, vms, workers);
            } finally {
                for (Vm vm : vms) vm.kill();
                workers.forEach(Worker::close);
                record.add("exit " + result);
            }
        }
        System.exit(result);
    }

    private static int run(boolean trouble, Record record, Platform platform, List<Vm> vms, List<Worker> workers)
        throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("case");
        platform.put("config", "main", CONFIG);
        for (int number = 1; number <= 2; number++) {
            Worker engine = new Worker("e" + number, "engines", "z" + number, "m0");
            engine.events = 60;
            engine.eventMs = 100;
            workers.add(engine);
            platform.put("servers", engine.id, engine.entry("ready"));
        }
        for (int number = 1; number <= 3; number++) vms.add(new Vm("edge-" + number, "z" + number, folder));
        for (Vm vm : vms) vm.start(platform, vms);
        for (Vm vm : vms) if (!vm.awaitReady(20_000)) return notRun(record, vm.name + " was not ready in 20 s");
        Thread.sleep(3_500);
        StringBuilder items = new StringBuilder();
        for (int number = 1; number <= 16; number++) {
            items.append(number == 1 ? "" : ",").append(item("a" + number, "g" + (number + 1) / 2));
        }
        String batch = "{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"desired\":8,\"items\":[" + items + "]}";
        Client.Answer accepted = Client.send("POST", vms.get(0).host, vms.get(0).front, "/rolls/7c41", "lots.example",
            List.of("X-Api-Key: key-1", "Guavashore-Request-Id: 7c41e09b52d6a3f8"), batch, 4_000);
        record.add("submission at edge-1: " + accepted);
        if (accepted.status != 202) return notRun(record, "the submission was not accepted");
        Thread.sleep(2_000);
        long outageMs = Vm.nowMs();
        if (trouble) {
            platform.isSilent = true;
            record.add("the store is down (silent)");
        }
        Thread outage = new Thread(() -> {
            try {
                Thread.sleep(OUTAGE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            platform.isSilent = false;
        });
        outage.start();
        Thread.sleep(100);
        long endMs = Vm.nowMs();
        Client.Answer first = end(vms.get(0));
        record.add("end at edge-1: " + first);
        if (first.status != 200) {
            Thread.sleep(100);
            record.add("the trainer's one retry, at edge-2: " + end(vms.get(1)));
        }
        outage.join();
        long servesMs = outageMs + OUTAGE_MS;
        record.add("the store serves since " + record.at(servesMs));
        Thread.sleep(25_000);
        // The end counts as acknowledged after ack_ms of steady state, which begins contact_ms after the outage.
        long boundMs = servesMs + CONTACT_MS + ACK_MS + CANCEL_MS;
        record.add("no item may reach a worker and run after " + record.at(boundMs));
        int late = 0;
        for (Worker worker : workers) {
            synchronized (worker.runs) {
                for (Worker.Run run : worker.runs) {
                    record.add(run.id + " reached " + worker.id + " at " + record.at(run.atMs) + ", "
                        + (run.atMs - endMs) + " ms after the end was asked for");
                    if (run.atMs > boundMs) late++;
                }
            }
        }
        record.add(late == 0 ? "UNASKED held" : "UNASKED broken: " + late + " runs");
        return late == 0 ? 0 : 1;
    }

    private static Client.Answer end(Vm vm) {
        return Client.send("DELETE", vm.host, vm.front, "/lots/7c41e09b52d6a3f8", "lots.example", KEY, null, 4_000);
    }

    private static String item(String id, String group) {
        return "{\"id\":\"" + id + "\",\"path\":\"/rolls/7c41/" + id + "\",\"headers\":{\"Guavashore-Model\":\"m0\","
            + "\"Guavashore-Token-Usage\":\"16,3840\",\"Guavashore-Prompt-Prefix\":\"9c2e41:16\"},\"body\":\"q83vEjRWeJA=\","
            + "\"tokens\":3856,\"group\":\"" + group + "\"}";
    }

    private static int notRun(Record record, String reason) {
        record.add("not run: " + reason);
        return 2;
    }
}
