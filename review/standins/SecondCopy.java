import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker answers one item with 422, and sends that answer a second time where the next answer is due. */
final class SecondCopy extends Case {
    private static final int ITEMS = 120;

    public static void main(String[] args) throws Exception {
        main(new SecondCopy());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 2);
        deployment.createVms(2);
        Worker faulty = deployment.addWorker("i-7f3a91c2", "huvo11a", "z1", true, 2);
        deployment.addWorker("i-1b2c3d4e", "huvo11a", "z2", true, 2);
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        Vm coordinator = deployment.awaitReady();
        Set<String> impossible = new HashSet<>();
        List<String> items = new ArrayList<>();
        for (int n = 0; n < ITEMS; n++) items.add(String.format("e5b2907c14da%04x", n));
        impossible.add(items.get(ITEMS / 4));
        for (Worker worker : deployment.workers.values()) {
            worker.impossible.addAll(impossible);
            worker.repeats422 = TROUBLE;
        }
        deployment.record.line("items that can never be done: " + impossible);
        byte[] body = Deployment.submission(items, 4, 30);
        Http.Message accepted = deployment.call(coordinator, "POST", "/pufi791/7c41e09b52d6a3f8", "7c41e09b52d6a3f8", body, 5_000);
        if (accepted == null || accepted.status() != 202) throw new Deployment.CannotRun("batch not accepted");
        List<Map<String, Object>> results = new ArrayList<>();
        long untilMs = Store.now() + 30_000;
        while (results.size() < ITEMS && Store.now() < untilMs) {
            List<Map<String, Object>> page = Deployment.results(deployment.call(coordinator, "GET",
                "/lots/7c41e09b52d6a3f8?after=" + results.size(), null, null, 5_000, "Guavashore-Wait-Ms", "1000"));
            if (page != null) results.addAll(page);
            Store.pause(300);
        }
        List<String> wrong = new ArrayList<>();
        for (Map<String, Object> result : results) {
            String item = (String) result.get("id");
            boolean isCompleted = result.get("state").equals("completed");
            if (!isCompleted && !impossible.contains(item)) wrong.add(item + " terminated");
            if (isCompleted && !result.get("text").equals(faulty.wholeText(item))) wrong.add(item + " completed with another text");
        }
        for (Worker worker : deployment.workers.values()) {
            deployment.record.line("worker " + worker.id + " answered " + worker.answers.get() + " requests");
        }
        if (results.size() < ITEMS) throw new Deployment.CannotRun("only " + results.size() + " results within 30 s");
        return wrong.isEmpty() ? null
            : "MIXED: no worker answered these items with 422 or 500, max_wait_s is 40 s, and batch and route were open: " + wrong;
    }
}
