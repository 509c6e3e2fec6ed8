import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Another writer puts an entry among those of the workers whose field is of another type: nested lists. Later the
 * workers are replaced as planned. Without trouble, there is no such entry. DEPTH sets how deep the lists are nested.
 */
final class ForeignEntry extends Case {
    private static final int DEPTH = Integer.parseInt(System.getenv().getOrDefault("DEPTH", "1000"));
    private static final long CONTACT_MS = 3_000;
    private static final long DRAIN_MS = 2_000;
    private static final long HEARTBEAT_MS = 1_200;

    public static void main(String[] args) throws Exception {
        Case.main(new ForeignEntry());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        List<Worker> old = new ArrayList<>();
        for (int n = 1; n <= 2; n++) old.add(deployment.addWorker("i-old-" + n, "wuno96b", "z" + n, false, 6));
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
        for (int n = 1; n <= 2; n++) fresh.add(deployment.addWorker("i-new-" + n, "wuno96b", "z" + n, false, 6));
        deployment.record.line("workers i-new-1 and i-new-2 are listed");
        Store.pause(1_000);
        for (Worker worker : old) deployment.store.put("servers", worker.id, worker.entry("draining"));
        long ackMs = Store.now();
        deployment.record.line("store: i-old-1 and i-old-2 are draining");
        Store.pause(DRAIN_MS + 1_000);
        for (Vm vm : deployment.vms) price(deployment, vm, "drained-" + vm.zone);
        List<String> broken = new ArrayList<>();
        for (Worker worker : old) {
            for (Worker.Run run : worker.runs) {
                long lateMs = run.atMs() - ackMs;
                if (lateMs > DRAIN_MS) broken.add(run.id() + " reached " + worker.id + " " + lateMs + " ms after the ack that it is draining");
            }
        }
        old.forEach(worker -> worker.server.close());
        old.forEach(worker -> deployment.store.remove("servers", worker.id));
        deployment.record.line("i-old-1 and i-old-2 have ended");
        Store.pause(3 * HEARTBEAT_MS);
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
        return broken.isEmpty() ? null : String.join("; ", broken) + "; after the old workers had ended, " + served + " of " + sent + " requests were served";
    }

    private static int price(Deployment deployment, Vm vm, String id) {
        Http.Message answer = deployment.call(vm, "POST", "/lohu930/2f", id, "{}".getBytes(), 5_000, "Guavashore-Deadline-Ms", "2000");
        return answer == null ? 0 : answer.status();
    }
}
