import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Link to a worker: a proxy on an address of its own. A cut holds back what is sent on open channels, in both directions;
 * a channel that is opened during a cut never carries anything. What a sender has reset is lost; what it has closed in order is
 * sent again until it gets through, with growing pauses, so for each byte the first attempt after the cut counts.
 */
final class Link {
    /** Pauses of TCP between attempts to send a segment again, from the first transmission: 0.2 s, then twice as long each time. */
    private static final long[] ATTEMPTS_MS = {200, 600, 1_400, 3_000, 6_200, 12_600};

    private final ServerSocket listener;
    private final String worker;
    private volatile boolean isCut = false;
    private volatile long healedAtMs = 0;
    private final ConcurrentLinkedQueue<Socket> openedInCut = new ConcurrentLinkedQueue<>();

    /** Called with the first bytes of each request before they are passed on. */
    volatile java.util.function.Consumer<String> onRequest = text -> {};

    Link(String host, String worker) throws IOException {
        this.worker = worker;
        listener = new ServerSocket(0, 256, InetAddress.getByName(host));
        start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    void cut() {
        isCut = true;
        Record.line("link to the worker cut");
    }

    void heal() {
        isCut = false;
        healedAtMs = Record.ms();
        openedInCut.forEach(Link::reset);
        Record.line("link to the worker healed");
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                if (isCut) {
                    openedInCut.add(client);
                    continue;
                }
                Socket server = new Socket(worker.split(":")[0], Integer.parseInt(worker.split(":")[1]));
                server.setTcpNoDelay(true);
                start(() -> pump(client, server, true));
                start(() -> pump(server, client, false));
            } catch (IOException e) {
                Record.line("proxy: %s", e);
            }
        }
    }

    private void pump(Socket from, Socket to, boolean isRequest) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                long sentAtMs = Record.ms();
                if (isRequest) onRequest.accept(new String(buffer, 0, Math.min(count, 40), StandardCharsets.ISO_8859_1));
                if (isCut && !awaitDelivery(from, sentAtMs)) {
                    reset(to);
                    return;
                }
                to.getOutputStream().write(buffer, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(to);
            reset(from);
        }
    }

    /** Waits for the first attempt to send after the cut; false if the sender has reset the channel meanwhile. */
    private boolean awaitDelivery(Socket from, long sentAtMs) throws IOException {
        int attempt = 0;
        while (true) {
            while (Record.ms() < sentAtMs + ATTEMPTS_MS[attempt]) {
                if (isReset(from)) return false;
                Deployment.sleep(20);
            }
            if (!isCut && sentAtMs + ATTEMPTS_MS[attempt] >= healedAtMs) return true;
            attempt++;
        }
    }

    /** True if a reset has arrived; an orderly end is none. */
    private static boolean isReset(Socket socket) {
        try {
            // A reset shows as an error of the channel at the next call that touches it.
            socket.getInputStream().available();
            socket.setSoTimeout(0);
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
