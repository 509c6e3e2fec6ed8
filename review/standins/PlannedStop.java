import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A VM is stopped as planned while two requesters on a narrow link read large answers from it. The worker has sent the
 * whole answers before the stop. Without trouble, the VM isn't stopped.
 */
final class PlannedStop extends Case {
    private static final int ANSWER_BYTES = 7_900_000;

    /** Bytes that a requester reads in a step, and the time of a step: 8 Mbit/s. */
    private static final int STEP_BYTES = 50_000;
    private static final long STEP_MS = 50;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final long DEADLINE_MS = 9_000;

    public static void main(String[] args) throws Exception {
        Case.main(new PlannedStop());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.createVms(3);
        for (int n = 1; n <= 2; n++) deployment.addWorker("i-plain-" + n, "wuno96b", "z" + n, false, 6).plainBytes = ANSWER_BYTES;
        deployment.addWorker("i-engine-1", "huvo11a", "z2", true, 12);
        deployment.declare(7, 12);
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        deployment.awaitReady();
        Vm stopped = deployment.vms.get(0);
        List<String> broken = new CopyOnWriteArrayList<>();
        List<String> cannot = new CopyOnWriteArrayList<>();
        CountDownLatch ended = new CountDownLatch(2);
        for (int n = 1; n <= 2; n++) {
            String id = "page-" + n;
            Http.thread(() -> {
                try {
                    read(deployment, stopped, id, broken, cannot);
                } finally {
                    ended.countDown();
                }
            });
            Store.pause(300);
        }
        Store.pause(200);
        if (TROUBLE) {
            deployment.record.line("SIGTERM to " + stopped.name);
            stopped.signal("TERM");
        }
        for (long untilMs = Store.now() + 9_000; TROUBLE && Store.now() < untilMs; Store.pause(20)) {
            if (!stopped.isRunning()) {
                deployment.record.line(stopped.name + " has ended");
                break;
            }
        }
        if (!ended.await(12, TimeUnit.SECONDS)) throw new Deployment.CannotRun("a requester did not end");
        if (!cannot.isEmpty()) throw new Deployment.CannotRun(String.join("; ", cannot));
        return broken.isEmpty() ? null : String.join("; ", broken);
    }

    private static void read(Deployment deployment, Vm vm, String id, List<String> broken, List<String> cannot) {
        long startMs = Store.now();
        int total = 0;
        String end = "complete";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            String[] parts = vm.front().split(":");
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(5_000);
            Http.send(socket.getOutputStream(), "POST", "/lohu930/2f", "{}".getBytes(), "Host", Deployment.HOST, "X-Api-Key", Deployment.KEY,
                "Guavashore-Request-Id", id, "Guavashore-Deadline-Ms", "" + DEADLINE_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
            Http.Message head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                cannot.add(id + " was not served: " + (head == null ? "no answer" : head.startLine));
                return;
            }
            int length = Integer.parseInt(head.headers.get("content-length"));
            deployment.record.line("requester: " + id + " at " + vm.name + " -> " + head.status() + ", " + length + " bytes to come");
            byte[] step = new byte[STEP_BYTES];
            while (total < length) {
                int count = in.readNBytes(step, 0, Math.min(STEP_BYTES, length - total));
                if (count == 0) {
                    end = "the channel was closed";
                    break;
                }
                total += count;
                Store.pause(STEP_MS);
            }
        } catch (IOException e) {
            end = "the channel failed: " + e.getMessage();
        }
        long ms = Store.now() - startMs;
        deployment.record.line("requester: " + id + " has " + total + " of " + ANSWER_BYTES + " bytes after " + ms + " ms: " + end);
        if (total < ANSWER_BYTES && ms < DEADLINE_MS) {
            broken.add(id + ", passed on to a sound worker, ended with " + total + " of " + ANSWER_BYTES + " bytes");
        }
    }
}
