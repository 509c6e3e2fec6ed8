import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The operator removes the route of a batch submission; its results are read before and afterwards. */
final class RouteRemoved {
    private static final String ROLLOUT = "{\"name\":\"r\",\"host\":\"lots.example\",\"path_prefix\":\"/rolls/\","
        + "\"kind\":\"rollout\",\"timeout_ms\":10000,\"slo_ms\":500,\"priority\":0,\"service\":\"engines\","
        + "\"max_attempts\":3,\"max_wait_s\":40.0,\"due_ms\":7500,\"single_version\":false,\"public\":false,"
        + "\"resumable\":true}";
    private static final String SAFE = "{\"name\":\"q\",\"host\":\"prices.example\",\"path_prefix\":\"/prices/\","
        + "\"kind\":\"safe\",\"timeout_ms\":2000,\"slo_ms\":200,\"priority\":2,\"service\":\"market\","
        + "\"max_attempts\":2,\"public\":false}";
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

    private static String config(int version, boolean withRollout) {
        return "{\"version\":" + version + ",\"routes\":[" + SAFE + (withRollout ? "," + ROLLOUT : "") + "],"
            + "\"services\":[{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":100,"
            + "\"engine\":{\"slots\":6,\"kv_capacity\":80000,\"models\":[{\"name\":\"m0\"}]}},"
            + "{\"name\":\"market\",\"health_path\":\"/health\",\"max_conns\":100}],"
            + "\"tenants\":[{\"name\":\"weavers\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static int run(boolean trouble, Record record, Platform platform, List<Vm> vms, List<Worker> workers)
        throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("case");
        platform.put("config", "main", config(1, true));
        for (int number = 1; number <= 2; number++) {
            Worker engine = new Worker("e" + number, "engines", "z" + number, "m0");
            Worker plain = new Worker("w" + number, "market", "z" + number, null);
            workers.addAll(List.of(engine, plain));
            platform.put("servers", engine.id, engine.entry("ready"));
            platform.put("servers", plain.id, plain.entry("ready"));
        }
        for (int number = 1; number <= 2; number++) vms.add(new Vm("edge-" + number, "z" + number, folder));
        for (Vm vm : vms) vm.start(platform, vms);
        for (Vm vm : vms) if (!vm.awaitReady(20_000)) return notRun(record, vm.name + " was not ready in 20 s");
        Thread.sleep(3_500);
        String batch = "{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"desired\":2,\"items\":["
            + item("a1", "g1") + "," + item("a2", "g1") + "," + item("b1", "g2") + "," + item("b2", "g2") + "]}";
        Client.Answer accepted = Client.send("POST", vms.get(0).host, vms.get(0).front, "/rolls/7c41", "lots.example",
            List.of("X-Api-Key: key-1", "Guavashore-Request-Id: 7c41e09b52d6a3f8"), batch, 4_000);
        record.add("submission at edge-1: " + accepted);
        if (accepted.status != 202) return notRun(record, "the submission was not accepted");
        String before = "";
        for (int attempt = 0; attempt < 20 && results(before) < 4; attempt++) {
            before = read(vms.get(1)).body;
            Thread.sleep(500);
        }
        record.add("results before the change: " + before);
        if (results(before) < 4) return notRun(record, "the results were not there in 10 s");
        platform.put("config", "main", config(2, !trouble));
        record.add("the store has acknowledged version 2 of the desired state, " + (trouble ? "without" : "with")
            + " the route of the submission");
        Thread.sleep(4_000);
        int missing = 0;
        for (int round = 0; round < 6; round++) {
            for (Vm vm : vms) {
                Client.Answer answer = read(vm);
                boolean same = answer.status == 200 && answer.body.equals(before);
                record.add("read at " + vm.name + ": " + answer + (same ? " (as before)" : ""));
                if (answer.status == 404 || answer.status == 410 || (answer.status == 200 && !same)) missing++;
            }
            Thread.sleep(500);
        }
        platform.put("config", "main", config(3, true));
        Thread.sleep(2_500);
        record.add("with the route again, read at edge-1: " + read(vms.get(0)).status);
        record.add(missing == 0 ? "LOST held" : "LOST broken: " + missing + " of 12 reads");
        return missing == 0 ? 0 : 1;
    }

    private static Client.Answer read(Vm vm) {
        return Client.get(vm.host, vm.front, "/lots/7c41e09b52d6a3f8?after=0", "lots.example", KEY, 4_000);
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
