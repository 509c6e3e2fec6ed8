import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Many requesters on narrow links read large answers from one VM at the same time. */
final class SlowReaders extends Case {
    private static final int ANSWER_BYTES = Integer.getInteger("answer", 4_000_000);
    private static final int READERS = Integer.getInteger("readers", 40);
    private static final int STEP_BYTES = 25_000;
    private static final long STEP_MS = 50;
    private static final long DEADLINE_MS = 9_900;

    public static void main(String[] args) throws Exception {
        Case.main(new SlowReaders());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        List<Worker> workers = new ArrayList<>();
        for (int n = 1; n <= 2; n++) workers.add(deployment.addWorker("i-plain-" + n, "wuno96b", "z" + n, false, 6));
        deployment.addWorker("i-engine-1", "huvo11a", "z2", true, 12);
        deployment.declare(7, 12);
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        Vm vm = deployment.vms.get(0);
        int readers = TROUBLE ? READERS : 4;
        List<String> broken = new CopyOnWriteArrayList<>();
        CountDownLatch ended = new CountDownLatch(readers);
        for (int n = 1; n <= readers; n++) {
            String id = "page-" + n;
            Http.thread(() -> {
                try {
                    read(deployment, vm, id, workers, broken);
                } finally {
                    ended.countDown();
                }
            });
            Store.pause(60);
        }
        ended.await(30, TimeUnit.SECONDS);
        Http.Message after = null;
        for (int n = 0; n < 3; n++) after = deployment.call(vm, "POST", "/lohu930/2f", "after-" + n, "{}".getBytes(), 3_000, "Guavashore-Deadline-Ms", "2000");
        deployment.record.line("ready: " + vm.isReady() + " running: " + vm.isRunning() + " coordinator: " + deployment.store.coordinator());
        return broken.size() <= 3 ? null : broken.size() + " channels were closed without an answer: " + broken.get(0);
    }

    private static void read(Deployment deployment, Vm vm, String id, List<Worker> workers, List<String> broken) {
        int total = 0;
        String end = "complete";
        long startMs = 0;
        boolean isPassedOn = false;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            String[] parts = vm.front().split(":");
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(12_000);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
            workers.forEach(worker -> worker.plainBytesOf = request -> request.startsWith("page") ? ANSWER_BYTES : 800);
            for (String request : List.of("first-" + id, id)) {
                startMs = Store.now();
                Http.send(socket.getOutputStream(), "POST", "/lohu930/2f", "{}".getBytes(), "Host", Deployment.HOST, "X-Api-Key", Deployment.KEY,
                    "Guavashore-Request-Id", request, "Guavashore-Deadline-Ms", "" + DEADLINE_MS);
                Http.Message head = Http.readHead(in);
                if (head == null) throw new IOException("closed without an answer");
                int length = Integer.parseInt(head.headers.get("content-length"));
                if (head.status() != 200) {
                    end = "answered " + head.status();
                    total = length;
                    break;
                }
                total = 0;
                byte[] step = new byte[STEP_BYTES];
                while (total < length) {
                    int count = in.readNBytes(step, 0, Math.min(STEP_BYTES, length - total));
                    if (count == 0) throw new IOException("closed midway");
                    total += count;
                    if (request.equals(id)) Store.pause(STEP_MS);
                }
            }
        } catch (IOException e) {
            end = "the channel failed: " + e.getMessage();
            isPassedOn = workers.stream().anyMatch(worker -> worker.runs.stream().anyMatch(run -> run.id().equals(id)));
            if (isPassedOn) broken.add(id + " after " + total + " bytes");
        }
        deployment.record.line("requester: " + id + " has " + total + " bytes after " + (Store.now() - startMs) + " ms: " + end
            + (isPassedOn ? " (it was passed on to a worker)" : ""));
    }
}
