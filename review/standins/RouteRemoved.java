import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The operator removes a rollout route, the only one of its host, soon after a batch of that route is complete. The
 * trainer then reads the results. Without trouble, the route stays.
 */
final class RouteRemoved extends Case {
    private static final String TRAINER_HOST = "lohu77.example";

    public static void main(String[] args) throws Exception {
        Case.main(new RouteRemoved());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        deployment.addWorker("i-engine-1", "huvo11a", "z1", true, 12);
        deployment.addWorker("i-plain-1", "wuno96b", "z3", false, 6);
        deployment.store.put("config", "main", declaration(7, true));
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        Vm vm = deployment.vms.get(0);
        List<String> items = List.of("item-1", "item-2", "item-3", "item-4");
        Http.Message answer = call(vm, "POST", "/pufi791/step", Deployment.submission(items, 2, 2), "lot-1");
        deployment.record.line("trainer: POST lot-1 -> " + answer.status());
        Store.pause(2_500);
        List<Map<String, Object>> results = Deployment.results(call(vm, "GET", "/lots/lot-1?after=0", null, null));
        if (results == null || results.size() < items.size()) throw new Deployment.CannotRun("the batch was not completed");
        deployment.record.line("trainer: has read " + results.size() + " results of lot-1");
        if (TROUBLE) {
            deployment.store.put("config", "main", declaration(8, false));
            deployment.record.line("operator: version 8 without the route is acknowledged");
        }
        Store.pause(5_000);
        List<String> broken = new ArrayList<>();
        for (Vm reader : deployment.vms) {
            Http.Message page = call(reader, "GET", "/lots/lot-1?after=0", null, null);
            deployment.record.line("trainer: GET /lots/lot-1 at " + reader.name + " -> " + page.status() + " " + page.text());
            if (page.status() == 404 || page.status() == 410) broken.add(reader.name + " answers " + page.status() + " for a batch whose results had been read");
        }
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    private static Http.Message call(Vm vm, String method, String uri, byte[] body, String id) throws Exception {
        List<String> fields = new ArrayList<>(List.of("Host", TRAINER_HOST, "X-Api-Key", Deployment.KEY));
        if (id != null) fields.addAll(List.of("Guavashore-Request-Id", id));
        return Http.call(vm.front(), method, uri, 5_000, body, fields.toArray(new String[0]));
    }

    private static Map<String, Object> declaration(long version, boolean hasTexts) {
        Map<String, Object> declaration = Deployment.declaration(version, 12);
        List<Object> routes = new ArrayList<>();
        for (Object entry : (List<?>) declaration.get("routes")) {
            @SuppressWarnings("unchecked")
            Map<String, Object> route = (Map<String, Object>) entry;
            boolean isTexts = route.get("name").equals("r-texts");
            if (isTexts) route.put("host", TRAINER_HOST);
            if (!isTexts || hasTexts) routes.add(route);
        }
        declaration.put("routes", routes);
        return declaration;
    }
}
