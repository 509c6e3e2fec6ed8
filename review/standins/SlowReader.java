import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A requester with a slow link reads a long answer while the VM that sends it is stopped in an orderly way. */
final class SlowReader extends Case {
    private static final int ANSWER_BYTES = 7_500_000;
    private static final int BYTES_PER_S = 1_250_000;
    private static final long GRACE_MS = 8_000;

    public static void main(String[] args) throws Exception {
        main(new SlowReader());
    }

    @Override
    String run(Deployment deployment) throws Exception {
        deployment.declare(1, 2);
        deployment.createVms(2);
        for (int n = 1; n <= 2; n++) {
            Worker worker = deployment.addWorker("i-5a91c20" + n, "wuno96b", "z" + n, false, 6);
            worker.plainBytes = ANSWER_BYTES;
        }
        for (Vm vm : deployment.vms) vm.start(deployment.controlAddresses());
        Vm coordinator = deployment.awaitReady();
        Vm stopped = deployment.vms.stream().filter(vm -> vm != coordinator).findFirst().orElseThrow();
        String[] address = stopped.front().split(":");
        long received = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])), 1_000);
            socket.setSoTimeout(10_000);
            long sentMs = Store.now();
            Http.send(socket.getOutputStream(), "GET", "/lohu930/2f", null, "Host", Deployment.HOST, "X-Api-Key", Deployment.KEY,
                "Guavashore-Request-Id", "9c41d07be2a35f68", "Guavashore-Deadline-Ms", "10000");
            deployment.record.line("requester: GET /lohu930/2f id=9c41d07be2a35f68 at " + stopped.name + " sent, deadline 10 s");
            InputStream in = socket.getInputStream();
            Http.Message head = Http.readHead(in);
            deployment.record.line("requester: head received: " + head.startLine + " " + head.headers);
            long sinceMs = Store.now();
            Store.pause(100);
            if (TROUBLE) {
                stopped.signal("TERM");
                deployment.record.line("SIGTERM to " + stopped.name + ", " + (Store.now() - sentMs) + " ms after the request; grace_s is 8");
            }
            byte[] buffer = new byte[16_384];
            boolean endSeen = false;
            String end = "complete";
            try {
                while (received < ANSWER_BYTES) {
                    int count = in.read(buffer);
                    if (count < 0) {
                        end = "channel closed by the VM";
                        break;
                    }
                    received += count;
                    if (TROUBLE && !endSeen && !stopped.isRunning()) {
                        endSeen = true;
                        deployment.record.line("the process has ended " + (Store.now() - sinceMs) + " ms after the head; bytes received so far: " + received);
                    }
                    long dueMs = sinceMs + received * 1_000 / BYTES_PER_S;
                    if (dueMs > Store.now()) Store.pause(dueMs - Store.now());
                }
            } catch (IOException e) {
                end = e.getMessage();
            }
            long tookMs = Store.now() - sentMs;
            deployment.record.line("requester: " + received + " of " + ANSWER_BYTES + " bytes after " + tookMs + " ms: " + end);
            if (received == ANSWER_BYTES) return null;
            if (tookMs > GRACE_MS) throw new Deployment.CannotRun("the answer took longer than the grace period");
            return "LOST: around a SIGTERM, an answer that a worker had made ended after " + received + " of " + ANSWER_BYTES + " bytes, "
                + tookMs + " ms after the request was sent; deadline and timeout_ms are 10 s, grace_s is 8";
        }
    }
}
