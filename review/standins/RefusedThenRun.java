import java.util.ArrayList;
import java.util.List;

/**
 * The store turns one VM away, and a little later goes down while it carries out a write. A batch that is submitted
 * then is refused at each attempt.
 */
final class RefusedThenRun extends Case {
    private static final String FIRST_BATCH = "11aa9b52d6a3f801";
    private static final String BATCH = "7c41e09b52d6a3f8";
    private static final long DOWN_MS = 4_500;

    public static void main(String[] args) throws Exception {
        main(new RefusedThenRun());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 4);
        deployment.createVms(3);
        Worker worker = deployment.addWorker("i-7f3a91c2", "huvo11a", "z1", true, 4);
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        Vm coordinator = deployment.awaitReady();
        List<Vm> others = deployment.vms.stream().filter(vm -> vm != coordinator).toList();
        Vm turnedAway = others.get(0);
        Vm second = others.get(1);
        Store store = deployment.store;
        if (TROUBLE) {
            deployment.record.line("the store turns " + turnedAway.name + " away with 503 and serves the others");
            turnedAway.storePort.isTurnedAway = true;
            store.hook = (port, method, kind, name) -> {
                if (!BATCH.equals(name)) return false;
                deployment.record.line("the store has carried out " + method + " " + kind + "/" + name + " sent by " + port.vm
                    + " and goes down before it answers");
                Http.thread(store::goDown);
                Store.pause(500);
                return true;
            };
        }
        List<String> firstItems = items("a1", 4);
        List<String> items = items("b2", 8);
        deployment.call(turnedAway, "POST", "/pufi791/11aa9b", FIRST_BATCH, Deployment.submission(firstItems, 4, 1), 5_000);
        Store.pause(100);
        byte[] body = Deployment.submission(items, 4, 2);
        List<Integer> statuses = new ArrayList<>();
        statuses.add(status(deployment.call(turnedAway, "POST", "/pufi791/7c41e0", BATCH, body, 5_000)));
        if (statuses.get(0) != 202) {
            Store.pause(400);
            statuses.add(status(deployment.call(second, "POST", "/pufi791/7c41e0", BATCH, body, 5_000)));
        }
        deployment.record.line("statuses of all attempts: " + statuses + "; the requester makes no further one");
        if (TROUBLE) {
            Store.pause(DOWN_MS);
            store.hook = (port, method, kind, name) -> false;
            turnedAway.storePort.isTurnedAway = false;
            store.comeBack();
            deployment.record.line("the store is back and serves all");
        }
        Store.pause(10_000);
        long begun = worker.runs.stream().filter(run -> items.contains(run.id())).map(Worker.Run::id).distinct().count();
        deployment.record.line("items of the batch that began to run: " + begun);
        boolean isRefused = statuses.stream().allMatch(status -> List.of(429, 503, 408, 421).contains(status));
        if (!isRefused && TROUBLE && statuses.contains(202)) return null;
        if (!isRefused && !statuses.contains(202)) return null;
        return isRefused && begun > 0
            ? "REFUSED: " + begun + " items ran though every attempt to submit their batch was answered " + statuses : null;
    }

    private static int status(Http.Message response) {
        return response == null ? 0 : response.status();
    }

    private static List<String> items(String prefix, int count) {
        List<String> items = new ArrayList<>();
        for (int n = 0; n < count; n++) items.add(prefix + String.format("b2907c14da%04x", n));
        return items;
    }
}
