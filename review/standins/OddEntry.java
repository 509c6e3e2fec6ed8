import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Another writer leaves an odd entry among the workers; then a worker is replaced while a batch runs. */
final class OddEntry extends Case {
    private static final String BATCH = "7c41e09b52d6a3f8";
    private static final int ITEMS = 32;
    private static final int DEPTH = 1_500;
    private static final long DRAIN_MS = 2_000;
    private static final long SERVES_ON_MS = 1_500;
    private static final long TRAINER_WAITS_MS = 12_000;
    private static final long NO_WORKER_MS = 5_000;

    public static void main(String[] args) throws Exception {
        main(new OddEntry());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 2);
        deployment.createVms(3);
        Worker old = deployment.addWorker("i-7f3a91c2", "huvo11a", "z1", true, 2);
        old.eventMs = 100;
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        Vm coordinator = deployment.awaitReady();
        if (TROUBLE) {
            Object nested = 0L;
            for (int n = 0; n < DEPTH; n++) nested = List.of(nested);
            Map<String, Object> odd = new LinkedHashMap<>(old.entry("ready"));
            odd.put("cold_left_ms", nested);
            deployment.store.put("servers", "i-0000aaaa", odd);
            deployment.record.line("another writer puts servers/i-0000aaaa: cold_left_ms is an array, nested " + DEPTH + " times, "
                + Json.write(odd).length() + " bytes in all");
        }
        Store.pause(4_000);
        Worker replacement = deployment.addWorker("i-1b2c3d4e", "huvo11a", "z2", true, 2);
        replacement.eventMs = 100;
        deployment.record.line("the new worker " + replacement.id + " is ready and in the store");
        Store.pause(500);
        List<String> items = new ArrayList<>();
        for (int n = 0; n < ITEMS; n++) items.add(String.format("e5b2907c14da%04x", n));
        Vm accepting = deployment.vms.stream().filter(vm -> vm != coordinator).findFirst().orElseThrow();
        long submittedMs = Store.now();
        Http.Message accepted = deployment.call(accepting, "POST", "/pufi791/7c41e0", BATCH, Deployment.submission(items, 4, 8), 5_000);
        if (accepted == null || accepted.status() != 202) throw new Deployment.CannotRun("batch not accepted");
        Store.pause(500);
        deployment.store.put("servers", old.id, old.entry("draining"));
        long drainingMs = Store.now();
        deployment.record.line("the store has accepted that " + old.id + " is draining; it serves on for " + (DRAIN_MS + SERVES_ON_MS) + " ms");
        Store.pause(DRAIN_MS + SERVES_ON_MS);
        deployment.store.remove("servers", old.id);
        old.server.close();
        long exitMs = Store.now();
        deployment.record.line("worker " + old.id + " has left");
        Store.pause(Math.max(0, submittedMs + TRAINER_WAITS_MS - Store.now()));
        List<Map<String, Object>> results =
            Deployment.results(deployment.call(accepting, "GET", "/lots/" + BATCH + "?after=0", null, null, 5_000));
        int listed = results == null ? 0 : results.size();
        long atNew = replacement.runs.size();
        long lateAtOld = old.runs.stream().filter(run -> run.atMs() > drainingMs + DRAIN_MS).count();
        long nowMs = Store.now();
        deployment.record.line("after " + TRAINER_WAITS_MS + " ms, as the trainer gives up: " + listed + " of " + ITEMS + " results; runs begun at the old worker: "
            + old.runs.size() + ", of these later than drain_ms after its report: " + lateAtOld + "; at the new worker: " + atNew);
        List<String> open = new ArrayList<>(items);
        if (results != null) results.forEach(result -> open.remove(result.get("id")));
        List<String> waiting = new ArrayList<>();
        for (String item : open) {
            long lastRunMs = 0;
            for (Worker worker : deployment.workers.values()) {
                for (Worker.Run run : worker.runs) if (run.id().equals(item)) lastRunMs = Math.max(lastRunMs, run.atMs());
            }
            if (Math.max(lastRunMs, exitMs) + NO_WORKER_MS < nowMs) waiting.add(item);
        }
        if (waiting.isEmpty() && lateAtOld == 0) return null;
        return "LOST: the step ran out of time while " + waiting.size() + " of its items had been at no worker for over 5 s, and a sound worker was empty"
            + (lateAtOld > 0 ? "; DRAIN: " + lateAtOld + " items reached " + old.id + " later than drain_ms after it was reported as draining" : "");
    }
}
