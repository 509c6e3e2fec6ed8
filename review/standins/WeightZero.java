import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The operator moves a rollout route from one service to another by its weights: 100 and 0 become 0 and 100. Batches
 * that are submitted long after the ack may run at the new service only. Without trouble, the weights aren't changed.
 */
final class WeightZero extends Case {
    private static final String OLD = "huvo11a";
    private static final String NEW = "huvo22b";

    /** Time bound for a desired state, and the time for which all must have been calm. */
    private static final long CONFIG_MS = 2_000;
    private static final long CONTACT_MS = 3_000;

    public static void main(String[] args) throws Exception {
        Case.main(new WeightZero());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        Worker before = deployment.addWorker("i-old-1", OLD, "z1", true, 12);
        Worker after = deployment.addWorker("i-new-1", NEW, "z2", true, 12);
        deployment.addWorker("i-plain-1", "wuno96b", "z3", false, 6);
        deployment.store.put("config", "main", declaration(7, 100, 0));
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        submit(deployment, "early");
        if (before.runs.isEmpty()) throw new Deployment.CannotRun("no item ran at the first service");
        if (TROUBLE) {
            deployment.store.put("config", "main", declaration(8, 0, 100));
            deployment.record.line("operator: version 8 is acknowledged; weights of the route: " + OLD + " 0, " + NEW + " 100");
        }
        Store.pause(CONTACT_MS + CONFIG_MS);
        submit(deployment, "late");
        List<String> broken = new ArrayList<>();
        for (Worker.Run run : before.runs) {
            if (TROUBLE && run.id().startsWith("late")) {
                broken.add(run.id() + " ran at " + OLD + ", " + (CONTACT_MS + CONFIG_MS) + " ms after the ack of its weight 0");
            }
        }
        deployment.record.line("runs of late items: " + late(before) + " at " + OLD + ", " + late(after) + " at " + NEW);
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    private static long late(Worker worker) {
        return worker.runs.stream().filter(run -> run.id().startsWith("late")).count();
    }

    /** Submits one batch of two items at each VM and waits for their results. */
    private static void submit(Deployment deployment, String prefix) {
        for (Vm vm : deployment.vms) {
            String lot = prefix + "-lot-" + vm.zone;
            List<String> items = List.of(prefix + "-" + vm.zone + "-1", prefix + "-" + vm.zone + "-2");
            Http.Message answer = deployment.call(vm, "POST", "/pufi791/step", lot, Deployment.submission(items, 1, 2), 5_000);
            if (answer == null || answer.status() != 202) throw new Deployment.CannotRun("a batch was not accepted");
        }
        Store.pause(2_500);
        for (Vm vm : deployment.vms) deployment.call(vm, "GET", "/lots/" + prefix + "-lot-" + vm.zone + "?after=0", null, null, 5_000);
    }

    private static Map<String, Object> declaration(long version, long oldWeight, long newWeight) {
        Map<String, Object> declaration = Deployment.declaration(version, 12);
        List<Object> routes = new ArrayList<>();
        for (Object entry : (List<?>) declaration.get("routes")) {
            @SuppressWarnings("unchecked")
            Map<String, Object> route = (Map<String, Object>) entry;
            if (route.get("name").equals("r-texts")) {
                route.remove("service");
                route.put("backends", List.of(Json.of("service", OLD, "weight", oldWeight), Json.of("service", NEW, "weight", newWeight)));
            }
            routes.add(route);
        }
        declaration.put("routes", routes);
        List<Object> services = new ArrayList<>((List<?>) declaration.get("services"));
        services.add(Json.of("name", NEW, "health_path", "/health", "max_conns", 150L, "protocol", "h1", "tls", false, "engine",
            Json.of("slots", 12L, "kv_capacity", 84492L, "kv_token_bytes", 262144L, "stride", 63L, "most", 12L,
                "models", List.of(Json.of("name", Deployment.MODEL)))));
        declaration.put("services", services);
        return declaration;
    }
}
