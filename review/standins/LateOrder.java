import java.util.List;

/** The zone of an engine is cut off; the coordinator sends it an order and is killed; a successor orders the engine after the cut. */
final class LateOrder extends Case {
    private static final long CUT_MS = 4_500;
    private static final long THAW_MS = 300;

    public static void main(String[] args) throws Exception {
        main(new LateOrder());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 4);
        deployment.createVms(3);
        Worker cutOff = deployment.addWorker("i-1b2c3d4e", "huvo11a", "z4", true, 4);
        Proxy link = Proxy.inFrontOf(cutOff.server.address());
        link.retransmits = true;
        cutOff.listedAddress = link.address();
        Worker other = deployment.addWorker("i-7f3a91c2", "huvo11a", "z1", true, 4);
        for (Worker worker : List.of(cutOff, other)) {
            worker.onLoaded = () -> deployment.store.put("servers", worker.id, worker.entry("ready"));
            worker.onLoaded.run();
        }
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        Vm coordinator = deployment.awaitReady();
        for (long version = 2; version <= 3; version++) {
            name(deployment, version);
            Store.pause(1_300);
        }
        long cutMs = Store.now();
        if (TROUBLE) {
            link.hold();
            deployment.record.line("the zone of " + cutOff.id + " is cut off");
        }
        Store.pause(50);
        name(deployment, 4);
        Store.pause(250);
        if (TROUBLE) {
            coordinator.end();
            deployment.record.line("the process of " + coordinator.name + " is killed");
        }
        Store.pause(Math.max(0, cutMs + CUT_MS - Store.now()));
        long healedMs = Store.now();
        if (TROUBLE) {
            link.heal();
            deployment.record.line("the cut is healed after " + (healedMs - cutMs) + " ms; coordinator: " + deployment.store.coordinator());
        }
        Store.pause(9_000);
        long highest = 0;
        String broken = null;
        for (Worker.Order order : cutOff.ordersSeen) {
            boolean isExcused = TROUBLE && order.atMs() >= cutMs && order.atMs() <= healedMs + THAW_MS;
            if (order.fence() < highest && !isExcused) {
                broken = "ONE: " + cutOff.id + " got an order with generation number " + order.fence() + " of " + order.holder() + " after one with "
                    + highest + ", " + (order.atMs() - healedMs) + " ms after the link had healed";
            }
            highest = Math.max(highest, order.fence());
        }
        return broken;
    }

    private static void name(Deployment deployment, long version) {
        deployment.store.put("versions", Deployment.MODEL, Json.of("model", Deployment.MODEL, "version", version));
        deployment.record.line("trainer names version " + version);
    }
}
