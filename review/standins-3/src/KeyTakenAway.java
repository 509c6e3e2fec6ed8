import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A tenant submits a batch on a public route with a key that has been taken away, and reads it with its other key. */
final class KeyTakenAway {
    private static final String ROLLOUT = "{\"name\":\"r\",\"host\":\"lots.example\",\"path_prefix\":\"/rolls/\","
        + "\"kind\":\"rollout\",\"timeout_ms\":10000,\"slo_ms\":500,\"priority\":0,\"service\":\"engines\","
        + "\"max_attempts\":3,\"max_wait_s\":40.0,\"due_ms\":7500,\"single_version\":false,\"public\":true,"
        + "\"resumable\":true}";
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

    private static String config(int version, String keys) {
        return "{\"version\":" + version + ",\"routes\":[" + ROLLOUT + "],"
            + "\"services\":[{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":100,"
            + "\"engine\":{\"slots\":6,\"kv_capacity\":80000,\"models\":[{\"name\":\"m0\"}]}}],"
            + "\"tenants\":[{\"name\":\"weavers\",\"api_keys\":[" + keys + "],\"priority\":1}]}";
    }

    private static int run(boolean trouble, Record record, Platform platform, List<Vm> vms, List<Worker> workers)
        throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("case");
        platform.put("config", "main", config(1, "\"key-1\",\"key-2\""));
        for (int number = 1; number <= 2; number++) {
            Worker engine = new Worker("e" + number, "engines", "z" + number, "m0");
            workers.add(engine);
            platform.put("servers", engine.id, engine.entry("ready"));
        }
        for (int number = 1; number <= 2; number++) vms.add(new Vm("edge-" + number, "z" + number, folder));
        for (Vm vm : vms) vm.start(platform, vms);
        for (Vm vm : vms) if (!vm.awaitReady(20_000)) return notRun(record, vm.name + " was not ready in 20 s");
        Thread.sleep(3_500);
        if (trouble) {
            platform.put("config", "main", config(2, "\"key-2\""));
            record.add("the store has acknowledged version 2 of the desired state, without key-1");
        }
        Thread.sleep(4_000);
        String batch = "{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"desired\":2,\"items\":["
            + item("a1", "g1") + "," + item("a2", "g1") + "," + item("b1", "g2") + "," + item("b2", "g2") + "]}";
        Client.Answer accepted = Client.send("POST", vms.get(0).host, vms.get(0).front, "/rolls/7c41", "lots.example",
            List.of("X-Api-Key: key-1", "Guavashore-Request-Id: 7c41e09b52d6a3f8"), batch, 4_000);
        record.add("submission at edge-1 with key-1: " + accepted);
        if (accepted.status != 202) {
            record.add("the submission was not accepted, so nothing is owed");
            return 0;
        }
        Thread.sleep(3_000);
        int missing = 0;
        for (int round = 0; round < 6; round++) {
            for (Vm vm : vms) {
                Client.Answer answer = read(vm, "key-2");
                record.add("read at " + vm.name + " with key-2: " + answer);
                if (answer.status == 404 || answer.status == 410 || answer.status == 200 && results(answer.body) < 4) missing++;
            }
            Thread.sleep(500);
        }
        record.add("read at edge-1 with key-1: " + read(vms.get(0), "key-1"));
        for (Worker worker : workers) record.add(worker.id + " ran " + worker.runs.size() + " items");
        record.add(missing == 0 ? "LOST held" : "LOST broken: " + missing + " of 12 reads");
        return missing == 0 ? 0 : 1;
    }

    private static Client.Answer read(Vm vm, String key) {
        return Client.get(vm.host, vm.front, "/lots/7c41e09b52d6a3f8?after=0", "lots.example",
            List.of("X-Api-Key: " + key), 4_000);
    }

    private static int results(String page) {
        return page.startsWith("{\"total\"") ? ((List<?>) Json.object(page).get("results")).size() : 0;
    }

    private static String item(String id, String group) {
        return "{\"id\":\"" + id + "\",\"path\":\"/rolls/7c41/" + id + "\",\"headers\":{\"Guavashore-Model\":\"m0\","
            + "\"Guavashore-Token-Usage\":\"16,320\",\"Guavashore-Prompt-Prefix\":\"9c2e41:16\"},\"body\":\"q83vEjRWeJA=\","
            + "\"tokens\":336,\"group\":\"" + group + "\"}";
    }

    private static int notRun(Record record, String reason) {
        record.add("not run: " + reason);
        return 2;
    }
}
