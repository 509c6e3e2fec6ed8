import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Another writer puts an entry among those of the workers whose field is of another type: nested lists. Later the
 * workers are replaced one after the other, in three releases of two fifths of them at most. Without trouble, there is no such entry. DEPTH sets how deep the lists are nested.
 */
final class ForeignEntry extends Case {
    private static final int DEPTH = Integer.parseInt(System.getenv().getOrDefault("DEPTH", "1000"));
    private static final int WORKERS = 5;
    private static final int PER_RELEASE = 2;
    private static final long GAP_MS = 1_000;
    private static final long CONTACT_MS = 3_000;
    private static final long DRAIN_MS = 2_000;

    /** Time for which a worker goes on serving after drain_ms. */
    private static final long LINGER_MS = 1_500;

    public static void main(String[] args) throws Exception {
        Case.main(new ForeignEntry());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        List<Worker> old = new ArrayList<>();
        for (int n = 1; n <= WORKERS; n++) old.add(deployment.addWorker("i-old-" + n, "wuno96b", zone(n), false, 6));
        deployment.addWorker("i-engine-1", "huvo11a", "z2", true, 12);
        deployment.declare(7, 12);
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        for (Vm vm : deployment.vms) price(deployment, vm, "early-" + vm.zone);
        if (TROUBLE) {
            StringBuilder nested = new StringBuilder("[".repeat(DEPTH)).append("]".repeat(DEPTH));
            Map<String, Object> entry = old.get(0).entry("ready");
            entry.put("address", nested);
            deployment.store.put("servers", "i-other", entry);
            deployment.record.line("another writer: entry i-other, whose address is a list, nested " + DEPTH + " deep (" + nested.length() + " bytes)");
        }
        Store.pause(CONTACT_MS + 1_000);
        for (Vm vm : deployment.vms) price(deployment, vm, "calm-" + vm.zone);
        List<Worker> fresh = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        for (int first = 0; first < WORKERS; first += PER_RELEASE) {
            release(deployment, old.subList(first, Math.min(first + PER_RELEASE, WORKERS)), fresh, broken);
        }
        Store.pause(CONTACT_MS);
        int served = 0;
        int sent = 0;
        for (int n = 0; n < 4; n++) {
            for (Vm vm : deployment.vms) {
                sent++;
                if (price(deployment, vm, "after-" + n + "-" + vm.zone) == 200) served++;
            }
        }
        deployment.record.line(served + " of " + sent + " requests are served after the replacement; the new workers began "
            + fresh.stream().mapToInt(worker -> worker.runs.size()).sum() + " runs");
        return broken.isEmpty() ? null : String.join("; ", broken) + "; after all old workers had ended, " + served + " of " + sent + " requests were served";
    }

    private static String zone(int number) {
        return "z" + (1 + (number - 1) % 3);
    }

    /** Replaces the given workers, one after the other: the new one starts first, the old one drains and ends. */
    private static void release(Deployment deployment, List<Worker> leaving, List<Worker> fresh, List<String> broken) throws Exception {
        List<Long> acksMs = new ArrayList<>();
        for (Worker worker : leaving) {
            fresh.add(deployment.addWorker("i-new-" + (fresh.size() + 1), "wuno96b", zone(fresh.size() + 1), false, 6));
            Store.pause(GAP_MS);
            deployment.store.put("servers", worker.id, worker.entry("draining"));
            acksMs.add(Store.now());
            deployment.record.line("store: " + worker.id + " is draining; its successor has been listed for " + GAP_MS + " ms");
        }
        Store.pause(DRAIN_MS + 500);
        for (Vm vm : deployment.vms) price(deployment, vm, "drained-" + fresh.size() + "-" + vm.zone);
        Store.pause(Math.max(0, acksMs.get(acksMs.size() - 1) + DRAIN_MS + LINGER_MS - Store.now()));
        for (int n = 0; n < leaving.size(); n++) {
            Worker worker = leaving.get(n);
            for (Worker.Run run : worker.runs) {
                long lateMs = run.atMs() - acksMs.get(n);
                if (lateMs > DRAIN_MS) broken.add(run.id() + " reached " + worker.id + " " + lateMs + " ms after the ack that it is draining");
            }
            worker.server.close();
            deployment.store.remove("servers", worker.id);
            deployment.record.line(worker.id + " has ended");
        }
    }

    private static int price(Deployment deployment, Vm vm, String id) {
        Http.Message answer = deployment.call(vm, "POST", "/lohu930/2f", id, "{}".getBytes(), 5_000, "Guavashore-Deadline-Ms", "2000");
        return answer == null ? 0 : answer.status();
    }
}
