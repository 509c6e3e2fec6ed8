import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The operator takes away the last key that the desired state holds. Requesters go on sending with that key, and one
 * sends with a key that was never held. Without trouble, no key is taken away. With SECOND_TENANT=1 there is another
 * tenant, which keeps its key.
 */
final class KeysTakenAway extends Case {
    private static final String OTHER_KEY = "s989anu6wsjnbanfqasn";
    private static final String NEVER_HELD = "zz0never0held0zz0000";

    /** Time bound for a desired state, and the time for which all must have been calm. */
    private static final long CONFIG_MS = 2_000;
    private static final long CONTACT_MS = 3_000;

    public static void main(String[] args) throws Exception {
        Case.main(new KeysTakenAway());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        Worker plain = deployment.addWorker("i-plain-1", "wuno96b", "z1", false, 6);
        Worker engine = deployment.addWorker("i-engine-1", "huvo11a", "z2", true, 12);
        deployment.store.put("config", "main", declaration(7, List.of(Deployment.KEY)));
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        for (Vm vm : deployment.vms) {
            price(deployment, vm, "held-" + vm.zone, Deployment.KEY);
            price(deployment, vm, "early-" + vm.zone, NEVER_HELD);
        }
        if (plain.runs.size() != deployment.vms.size()) throw new Deployment.CannotRun("keys are not checked before the change");
        deployment.store.put("config", "main", declaration(8, TROUBLE ? List.of() : List.of(Deployment.KEY)));
        deployment.record.line("operator: version 8 is acknowledged; the key of tenant huka270 " + (TROUBLE ? "is taken away" : "stays"));
        Store.pause(CONTACT_MS + CONFIG_MS);
        List<String> broken = new ArrayList<>();
        for (Vm vm : deployment.vms) {
            price(deployment, vm, "dropped-" + vm.zone, Deployment.KEY);
            price(deployment, vm, "never-" + vm.zone, NEVER_HELD);
            byte[] batch = Deployment.submission(List.of("item-" + vm.zone), 1, 1);
            deployment.call(vm, "POST", "/pufi791/step", "lot-" + vm.zone, batch, 5_000);
        }
        Store.pause(1_500);
        for (Worker.Run run : plain.runs) {
            if (TROUBLE && run.id().startsWith("dropped-")) broken.add(run.id() + " ran with a key that was taken away " + (CONTACT_MS + CONFIG_MS) + " ms before");
            if (run.id().startsWith("never-")) broken.add(run.id() + " ran with a key that no desired state ever held");
        }
        for (Worker.Run run : engine.runs) {
            if (TROUBLE && run.id().startsWith("item-")) broken.add(run.id() + " of a batch that was submitted with the dropped key ran");
        }
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    private static void price(Deployment deployment, Vm vm, String id, String key) throws Exception {
        String outcome;
        try {
            Http.Message response = Http.call(vm.front(), "POST", "/lohu930/2f", 5_000, "{}".getBytes(),
                "Host", Deployment.HOST, "X-Api-Key", key, "Guavashore-Request-Id", id, "Guavashore-Deadline-Ms", "2000");
            outcome = "" + response.status();
        } catch (java.io.IOException e) {
            outcome = "no response: " + e.getMessage();
        }
        deployment.record.line("requester: POST /lohu930/2f id=" + id + " key=" + key + " at " + vm.name + " -> " + outcome);
    }

    /** Version with the given keys of tenant huka270. */
    private static Map<String, Object> declaration(long version, List<String> keys) {
        Map<String, Object> declaration = Deployment.declaration(version, 12);
        List<Object> tenants = new ArrayList<>();
        tenants.add(Json.of("name", "huka270", "api_keys", keys, "priority", 1L));
        if ("1".equals(System.getenv("SECOND_TENANT"))) tenants.add(Json.of("name", "puhu251", "api_keys", List.of(OTHER_KEY), "priority", 1L));
        declaration.put("tenants", tenants);
        return declaration;
    }
}
