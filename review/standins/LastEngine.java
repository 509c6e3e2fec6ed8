import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Six models are trained on six workers, each of which holds all models. One worker is lost for good while a step of one
 * trainer runs; the other trainers ask for nothing at that time. Without trouble, no worker is lost.
 */
final class LastEngine extends Case {
    private static final int MODELS = 6;
    private static final int ITEMS = 12;
    private static final int SLOTS = 4;
    private static final long HEARTBEAT_MS = 1_200;

    /** Time that a trainer allows a step, and the time at no worker after which an item of it is lost. */
    private static final long STEP_MS = 12_000;
    private static final long AT_NO_WORKER_MS = 5_000;

    /** Time from which the state counts as steady, after the entry of the lost worker is removed. */
    private static final long CONTACT_MS = 3_000;

    public static void main(String[] args) throws Exception {
        Case.main(new LastEngine());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        List<String> models = new ArrayList<>();
        for (int n = 1; n <= MODELS; n++) models.add("model" + n);
        List<Worker> engines = new ArrayList<>();
        for (int n = 1; n <= MODELS; n++) {
            Worker engine = deployment.addWorker("i-engine-" + n, "huvo11a", "z" + (1 + n % 3), true, SLOTS);
            engine.otherModels = models;
            engine.events = 10;
            engine.eventMs = 100;
            deployment.store.put("servers", engine.id, engine.entry("ready"));
            engines.add(engine);
        }
        deployment.addWorker("i-plain-1", "wuno96b", "z1", false, 6);
        deployment.store.put("config", "main", declaration(models));
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        Vm vm = deployment.vms.get(1);
        // Each trainer has asked for a step before, so all know that their models are served.
        for (String model : models) ask(deployment, vm, "first-" + model, model, 1);
        Store.pause(2_500);
        for (String model : models) {
            if (begun(engines, "first-" + model).isEmpty()) throw new Deployment.CannotRun("no worker serves " + model);
        }
        String model = models.get(MODELS - 1);
        String step = "step-" + model;
        long startMs = Store.now();
        ask(deployment, vm, step, model, ITEMS);
        Store.pause(150);
        Set<String> early = begun(engines, step);
        if (early.isEmpty()) throw new Deployment.CannotRun("no item of the step has begun");
        Worker lost = engines.stream().filter(engine -> !begun(List.of(engine), step).isEmpty()).findFirst().orElseThrow();
        long steadyMs = Store.now();
        if (TROUBLE) {
            deployment.record.line("worker " + lost.id + " is lost for good");
            lost.server.close();
            Store.pause(3 * HEARTBEAT_MS);
            deployment.store.remove("servers", lost.id);
            deployment.record.line("store: the entry of " + lost.id + " is removed");
            steadyMs = Store.now() + CONTACT_MS;
        }
        int listed = 0;
        long lastRunMs = 0;
        long fullest = 0;
        while (Store.now() < startMs + STEP_MS && listed < ITEMS) {
            Store.pause(500);
            List<Map<String, Object>> results = Deployment.results(
                Http.call(vm.front(), "GET", "/lots/" + step + "?after=0", 3_000, null, "Host", Deployment.HOST, "X-Api-Key", Deployment.KEY));
            if (results != null) listed = results.size();
            fullest = Math.max(fullest, engines.stream().filter(engine -> engine != lost).mapToLong(Worker::running).sum());
        }
        for (Worker engine : engines) for (Worker.Run run : engine.runs) lastRunMs = Math.max(lastRunMs, run.atMs());
        long idleMs = startMs + STEP_MS - Math.max(lastRunMs, steadyMs);
        long unfinished = 0;
        for (int n = 1; n <= ITEMS; n++) {
            String item = step + "-" + n;
            if (engines.stream().noneMatch(engine -> engine.finished.contains(item))) unfinished++;
        }
        long slots = SLOTS * (MODELS - 1);
        deployment.record.line("after " + (Store.now() - startMs) + " ms " + listed + " of " + ITEMS + " items are listed; no run of any item began in the last "
            + idleMs + " ms of steady state before the end of the step; no worker has finished "
            + unfinished + " of the items; the other workers ran at most " + fullest + " requests on their " + slots + " slots");
        boolean isBroken = unfinished > 0 && idleMs >= AT_NO_WORKER_MS && fullest * 2 < slots;
        return !isBroken ? null : unfinished + " of " + ITEMS + " items were at no worker for " + idleMs + " ms while " + (MODELS - 1) + " sound workers were idle";
    }

    /** Ids of the items of a batch that a worker has begun to run. */
    private static Set<String> begun(List<Worker> engines, String batch) {
        Set<String> items = new HashSet<>();
        engines.forEach(engine -> engine.runs.forEach(run -> {
            if (run.id().startsWith(batch + "-")) items.add(run.id());
        }));
        return items;
    }

    private static void ask(Deployment deployment, Vm vm, String batch, String model, int items) {
        List<Object> list = new ArrayList<>();
        for (int n = 1; n <= items; n++) {
            String item = batch + "-" + n;
            list.add(Json.of("id", item, "path", "/pufi791/3/" + item, "headers",
                Json.of("Guavashore-Model", model, "Guavashore-Token-Usage", "540,400", "Guavashore-Prompt-Prefix", "9c2e41:300,5d07b8:240"),
                "body", Base64.getEncoder().encodeToString(("prompt of " + item).getBytes()), "tokens", 940L, "group", "g" + (n - 1) / 2));
        }
        byte[] body = Json.write(Json.of("step", 1L, "model", model, "min_version", 1L, "desired", (long) (items + 1) / 2, "items", list)).getBytes();
        Http.Message answer = deployment.call(vm, "POST", "/pufi791/step", batch, body, 5_000);
        if (answer == null || answer.status() != 202) throw new Deployment.CannotRun("a batch was not accepted");
    }

    private static Map<String, Object> declaration(List<String> models) {
        Map<String, Object> declaration = Deployment.declaration(7, SLOTS);
        List<Object> names = new ArrayList<>();
        models.forEach(model -> names.add(Json.of("name", model)));
        for (Object service : (List<?>) declaration.get("services")) {
            @SuppressWarnings("unchecked")
            Map<String, Object> engine = (Map<String, Object>) ((Map<String, Object>) service).get("engine");
            if (engine != null) engine.put("models", names);
        }
        return declaration;
    }
}
