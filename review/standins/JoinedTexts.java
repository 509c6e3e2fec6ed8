import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The coordinator is cut off from its peers and its process is killed; the cut heals after the successor has ended a batch. */
final class JoinedTexts extends Case {
    private static final String FIRST = "7c41e09b52d6a3f8";
    private static final String SECOND = "8d52f1ac63e7b4a9";
    private static final int LONG_ITEMS = 8;
    private static final int SHORT_ITEMS = 4;

    public static void main(String[] args) throws Exception {
        main(new JoinedTexts());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 12);
        deployment.createVms(3);
        Worker worker = deployment.addWorker("i-7f3a91c2", "huvo11a", "z1", true, 12);
        worker.namesRuns = true;
        worker.eventsOf = id -> number(id) < SHORT_ITEMS ? 11 : 80;
        worker.eventMsOf = id -> 90 + number(id) * 5L % 41;
        Map<String, Proxy> links = Links.start(deployment);
        Vm coordinator = deployment.awaitReady();
        Vm reading = deployment.vms.stream().filter(vm -> vm != coordinator).findFirst().orElseThrow();
        List<String> items = new ArrayList<>();
        for (int n = 0; n < SHORT_ITEMS + LONG_ITEMS; n++) items.add(String.format("e5b2907c14da%04x", n));
        Http.Message accepted = deployment.call(reading, "POST", "/pufi791/7c41e0", FIRST, Deployment.submission(items, 4, 1), 5_000);
        if (accepted == null || accepted.status() != 202) throw new Deployment.CannotRun("batch not accepted");
        Store.pause(900);
        long cutMs = Store.now();
        if (TROUBLE) {
            deployment.record.line("the links of " + coordinator.name + " to its peers hold their bytes");
            links.forEach((names, proxy) -> { if (names.contains(coordinator.name)) proxy.hold(); });
            coordinator.storePort.isTurnedAway = true;
            Store.pause(1_150);
            coordinator.end();
            deployment.record.line("the process of " + coordinator.name + " is killed");
        }
        List<Map<String, Object>> read = new ArrayList<>();
        long untilMs = Store.now() + 12_000;
        while (read.stream().filter(r -> number((String) r.get("id")) < SHORT_ITEMS).count() < SHORT_ITEMS && Store.now() < untilMs) {
            List<Map<String, Object>> page = Deployment.results(
                deployment.call(reading, "GET", "/lots/" + FIRST + "?after=" + read.size(), null, null, 5_000, "Guavashore-Wait-Ms", "300"));
            if (page != null) read.addAll(page);
            Store.pause(100);
        }
        Http.Message ended = deployment.call(reading, "DELETE", "/lots/" + FIRST, null, null, 5_000);
        if (ended == null || ended.status() != 200) throw new Deployment.CannotRun("end of the batch not acknowledged");
        Store.pause(300);
        if (TROUBLE) {
            links.values().forEach(Proxy::heal);
            deployment.record.line("the links are healed after " + (Store.now() - cutMs) + " ms; coordinator: " + deployment.store.coordinator());
        }
        Store.pause(500);
        List<String> again = items.subList(SHORT_ITEMS, items.size());
        accepted = deployment.call(reading, "POST", "/pufi791/8d52f1", SECOND, Deployment.submission(again, 4, 2), 5_000);
        if (accepted == null || accepted.status() != 202) throw new Deployment.CannotRun("second batch not accepted");
        List<Map<String, Object>> results = new ArrayList<>();
        untilMs = Store.now() + 25_000;
        while (results.size() < again.size() && Store.now() < untilMs) {
            List<Map<String, Object>> page = Deployment.results(
                deployment.call(reading, "GET", "/lots/" + SECOND + "?after=" + results.size(), null, null, 5_000, "Guavashore-Wait-Ms", "1000"));
            if (page != null) results.addAll(page);
            Store.pause(400);
        }
        List<String> broken = new ArrayList<>();
        for (Map<String, Object> result : results) check(deployment, worker, (String) result.get("id"), (String) result.get("text"), broken);
        if (results.size() < again.size()) throw new Deployment.CannotRun("only " + results.size() + " results of the second batch");
        return broken.isEmpty() ? null : "ORDER: texts that go on after event n with a run that was not asked with Last-Event-Id n: " + broken;
    }

    /** Each event of a text comes from the run of the event before, or is the first of a run that was asked to go on there. */
    private static void check(Deployment deployment, Worker worker, String item, String text, List<String> broken) {
        int run = -1;
        int event = 0;
        StringBuilder parts = new StringBuilder();
        for (String line : text.split("\n")) {
            String[] fields = line.split("/");
            int number = Integer.parseInt(fields[1]);
            int by = Integer.parseInt(fields[2].substring("run ".length()));
            if (number != event + 1) broken.add(item + ": event " + number + " after event " + event);
            if (by != run) {
                parts.append(" ").append(number).append("+ by run ").append(by).append(" (asked after ").append(worker.runs.get(by).afterEvent()).append(")");
                if (worker.runs.get(by).afterEvent() != event) broken.add(item + ": event " + number + " by run " + by + ", asked after " + worker.runs.get(by).afterEvent());
            }
            run = by;
            event = number;
        }
        deployment.record.line("text of " + item + ":" + parts);
    }

    private static int number(String item) {
        return Integer.parseInt(item.substring(12), 16);
    }
}
