import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Machines are stopped and started in turn, each time the one that holds the duties. The workers answer one item of a
 * batch with 422 at each run: it can never be done.
 */
final class FailedItem {
    private static final String KEY = "key-huka";
    private static final long GAP_MS = 1_000;
    private static final int STOPS = 4;
    private static final int MOST_ANSWERS = 3;

    public static void main(String[] args) {
        Deployment.main(Path.of(args[0]), new double[] {0.75, 0.75, 0.75, 0.75, 0.75, 0.75, 0.75}, 4, FailedItem::test);
    }

    private static String test(Deployment deployment) throws Exception {
        String failed = "e5b2935100000000";
        List<String> items = new ArrayList<>();
        for (int i = 0; i < 24; i++) items.add(String.format("e5b29351%08x", i));
        List<Long> answersAtMs = java.util.Collections.synchronizedList(new ArrayList<>());
        deployment.engines.forEach(engine -> {
            engine.events = 100;
            engine.statusById.put(failed, 422);
            engine.onFailed = item -> {
                answersAtMs.add(Record.ms());
                Record.line("worker %s answered %s with 422, answer %d", engine.id, item, answersAtMs.size());
            };
        });
        String id = "7c41e09b52d6a351";
        if (Deployment.submit(deployment.vms.get(0), KEY, id, Deployment.batch(1, 6, items, Map.of()), 4_000).status() != 202) {
            throw new Deployment.CannotRun("batch not accepted");
        }
        Deployment.await(5_000, "the first 422", () -> !answersAtMs.isEmpty());
        List<Vm> stopped = new ArrayList<>();
        for (int i = 0; i < STOPS; i++) {
            if (Deployment.TROUBLE) {
                Vm holder = deployment.holder();
                if (stopped.contains(holder)) throw new Deployment.CannotRun("holder already stopped");
                holder.signal("TERM");
                stopped.add(holder);
                Thread restart = new Thread(() -> {
                    try {
                        holder.awaitEnd(9_000);
                        holder.start();
                    } catch (java.io.IOException | InterruptedException e) {
                        Record.line("%s not started again: %s", holder.name, e);
                    }
                });
                restart.setDaemon(true);
                restart.start();
            }
            Deployment.sleep(GAP_MS);
        }
        Deployment.sleep(6_000);
        Deployment.read(deployment.holder(), KEY, id, 0, 0);
        if (answersAtMs.size() <= MOST_ANSWERS) return null;
        return "item " + failed + " reached a worker " + answersAtMs.size() + " times, though each answered 422";
    }
}
