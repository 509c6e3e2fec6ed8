import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A zone is cut off from the others for some seconds; the store and requesters still reach it. A batch is accepted there
 * and ended by its trainer elsewhere before the cut heals.
 */
final class LateNotice extends Case {
    private static final String BATCH = "7c41e09b52d6a3f8";
    private static final int ITEMS = 40;
    private static final int GROUP_SIZE = 4;
    private static final int DESIRED_GROUPS = 2;
    private static final long HOLD_MS = 6_000;
    private static final long CANCEL_MS = 3_000;
    private static final long CONTACT_MS = 3_000;

    public static void main(String[] args) throws Exception {
        main(new LateNotice());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 2);
        deployment.createVms(3);
        Worker worker = deployment.addWorker("i-7f3a91c2", "huvo11a", "z1", true, 2);
        worker.events = 4;
        worker.eventMs = 100;
        Map<String, Proxy> links = Links.start(deployment);
        Vm coordinator = deployment.awaitReady();
        List<Vm> others = deployment.vms.stream().filter(vm -> vm != coordinator).toList();
        Vm accepting = others.get(0);
        Vm reading = others.get(1);
        List<String> items = new ArrayList<>();
        for (int n = 0; n < ITEMS; n++) items.add(String.format("e5b2907c14da%04x", n));

        long heldMs = Store.now();
        if (TROUBLE) {
            deployment.record.line("the links between " + accepting.zone + " and the other zones hold their bytes");
            links.forEach((names, proxy) -> {
                if (names.contains(accepting.name)) proxy.hold();
            });
        }
        Store.pause(100);
        byte[] body = Deployment.submission(items, GROUP_SIZE, DESIRED_GROUPS);
        Http.Message accepted = deployment.call(accepting, "POST", "/pufi791/7c41e0", BATCH, body, 5_000);
        if (accepted == null || accepted.status() != 202) throw new Deployment.CannotRun("batch not accepted");

        List<Map<String, Object>> read = readUntilDesired(deployment, reading);
        deployment.record.line("trainer: " + DESIRED_GROUPS + " groups are complete, " + read.size() + " results read; ends the batch");
        Http.Message ended = deployment.call(reading, "DELETE", "/lots/" + BATCH, null, null, 5_000);
        if (ended == null || ended.status() != 200) throw new Deployment.CannotRun("end of the batch not acknowledged");
        long endedMs = Store.now();
        Store.pause(Math.max(0, heldMs + HOLD_MS - Store.now()));
        if (endedMs - heldMs > HOLD_MS) throw new Deployment.CannotRun("the batch ended after the links had healed");
        if (TROUBLE) {
            deployment.record.line("the links are healed after " + (Store.now() - heldMs) + " ms");
            links.values().forEach(Proxy::heal);
        }
        long healedMs = Store.now();
        int fewest = read.size();
        while (Store.now() < healedMs + 12_000) {
            Store.pause(500);
            List<Map<String, Object>> page =
                Deployment.results(deployment.call(reading, "GET", "/lots/" + BATCH + "?after=0", null, null, 5_000));
            if (page != null && Store.now() > healedMs + CONTACT_MS) fewest = Math.min(fewest, page.size());
        }
        long late = worker.runs.stream().filter(run -> items.contains(run.id()) && run.atMs() > endedMs + CANCEL_MS).count();
        long inTouch = worker.runs.stream()
            .filter(run -> items.contains(run.id()) && run.atMs() > Math.max(endedMs + CANCEL_MS, healedMs + CONTACT_MS)).count();
        deployment.record.line("items that began to run later than cancel_ms after the acknowledged end: " + late + "; of these "
            + inTouch + " later than contact_ms after the links had healed");
        deployment.record.line("results read before the end: " + read.size() + "; fewest at a read later than contact_ms after the heal: " + fewest);
        if (inTouch > 0) {
            return "UNASKED: " + inTouch + " items of the ended batch reached a worker later than cancel_ms after the 200, sent by a machine in touch"
                + (fewest < read.size() ? "; LOST: a machine in touch had only " + fewest + " of " + read.size() + " results that had been read" : "");
        }
        return fewest < read.size() ? "LOST: a machine in touch had only " + fewest + " of " + read.size() + " results that had been read" : null;
    }

    /** Reads as a trainer does, twice a second, until the desired number of groups is complete. */
    private static List<Map<String, Object>> readUntilDesired(Deployment deployment, Vm vm) {
        List<Map<String, Object>> read = new ArrayList<>();
        long untilMs = Store.now() + 20_000;
        while (Store.now() < untilMs) {
            List<Map<String, Object>> page = Deployment.results(
                deployment.call(vm, "GET", "/lots/" + BATCH + "?after=" + read.size(), null, null, 5_000, "Guavashore-Wait-Ms", "1000"));
            if (page != null) read.addAll(page);
            Map<Integer, Set<Object>> groups = new HashMap<>();
            for (Map<String, Object> result : read) {
                int number = Integer.parseInt(((String) result.get("id")).substring(12), 16);
                groups.computeIfAbsent(number / GROUP_SIZE, ignored -> new HashSet<>()).add(result.get("id"));
            }
            if (groups.values().stream().filter(group -> group.size() == GROUP_SIZE).count() >= DESIRED_GROUPS) return read;
            Store.pause(400);
        }
        throw new Deployment.CannotRun("the desired groups were not complete within 20 s");
    }
}
