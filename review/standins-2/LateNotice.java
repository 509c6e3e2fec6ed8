import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An edge machine is frozen for less than a second as the store's answer to its write of a batch is on its way. The
 * trainer submits the batch again at another machine, reads the groups that it waits for, and ends the batch.
 */
final class LateNotice {
    private static final String KEY = "key-huka";
    private static final long FREEZE_MS = 850;
    private static final long PATIENCE_MS = 300;
    private static final long CANCEL_MS = 3_000;
    private static final int GROUPS = 36;
    private static final int DESIRED_GROUPS = 3;
    private static final int GROUP_SIZE = 4;

    public static void main(String[] args) {
        Deployment.main(Path.of(args[0]), new double[] {0.75, 0.75, 0.75}, 4, LateNotice::test);
    }

    private static String test(Deployment deployment) throws Exception {
        Vm holder = deployment.holder();
        Vm frozen = deployment.others(holder).get(0);
        Vm other = deployment.others(holder, frozen).get(0);
        Record.line("holder of the duties %s, first submission at %s", holder.name, frozen.name);
        String id = "7c41e09b52d6a3f8";
        List<String> items = new ArrayList<>();
        for (int i = 0; i < GROUPS * GROUP_SIZE; i++) {
            String item = String.format("e5b2907c14da%04x", i);
            items.add(item);
            // The groups that come first are short; the others take 2 s.
            Worker.EVENTS_BY_ID.put(item, i < DESIRED_GROUPS * GROUP_SIZE ? 5 : 50);
        }
        String batch = Deployment.batch(1, DESIRED_GROUPS, items, Map.of());
        long[] frozenAtMs = {0};
        deployment.platform.onCreated = (kind, name) -> {
            if (!name.equals(id) || !Deployment.TROUBLE || frozenAtMs[0] != 0) return;
            frozen.signal("STOP");
            frozenAtMs[0] = Record.ms();
            Thread thaw = new Thread(() -> {
                Deployment.sleep(FREEZE_MS);
                frozen.signal("CONT");
            });
            thaw.setDaemon(true);
            thaw.start();
        };
        // Without an answer for a while, the requester submits the batch again at another machine.
        java.util.concurrent.CompletableFuture<Integer> first = java.util.concurrent.CompletableFuture.supplyAsync(
            () -> Deployment.submit(frozen, KEY, id, batch, 4_000).status());
        int status = first.completeOnTimeout(0, PATIENCE_MS, java.util.concurrent.TimeUnit.MILLISECONDS).get();
        if (status != 202 && Deployment.submit(other, KEY, id, batch, 4_000).status() != 202) {
            throw new Deployment.CannotRun("batch not accepted");
        }
        if (Deployment.TROUBLE && frozenAtMs[0] == 0) throw new Deployment.CannotRun("machine not frozen");
        int awaited = DESIRED_GROUPS * GROUP_SIZE;
        int read = 0;
        long untilMs = Record.ms() + 7_500;
        while (read < awaited && Record.ms() < untilMs) {
            read += Deployment.results(Deployment.read(other, KEY, id, read, 1_000)).size();
        }
        if (read < awaited) throw new Deployment.CannotRun("groups not read");
        if (Deployment.end(other, KEY, id).status() != 200) throw new Deployment.CannotRun("batch not ended");
        long endedAtMs = Record.ms();
        Deployment.sleep(10_000);
        // Only the holder sends items; it is in touch, and no other machine has become the holder.
        if (deployment.holder() != holder) throw new Deployment.CannotRun("the holder has changed");
        synchronized (Worker.RUNS) {
            long late = Worker.RUNS.stream().filter(run -> run.atMs() > endedAtMs + CANCEL_MS).count();
            long after = Worker.RUNS.stream().filter(run -> run.atMs() > endedAtMs).count();
            Record.line("items that reached a worker after the ack of the end: %d; later than cancel_ms after it: %d", after, late);
            if (late == 0) return null;
            return late + " items of the batch ran that reached a worker later than " + CANCEL_MS + " ms after the ack of its end";
        }
    }
}
