import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Loopback proxy of one address. While it holds, it moves no bytes in either direction, as a partition does; the bytes
 * and the end of a channel that its sender closes arrive afterwards. What a sender resets is lost.
 */
final class Proxy {
    private final String target;
    private final ServerSocket listener;
    private volatile boolean isHolding;

    Proxy(int port, String target) throws IOException {
        this.target = target;
        listener = new ServerSocket(port, 64, InetAddress.getByName("127.0.0.1"));
        Http.thread(this::accept);
    }

    void hold() { isHolding = true; }

    void heal() { isHolding = false; }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                client.setTcpNoDelay(true);
                Http.thread(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        awaitOpen();
        Socket server = new Socket();
        try {
            String[] parts = target.split(":");
            server.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            server.setTcpNoDelay(true);
            Http.thread(() -> copy(server, client));
            copy(client, server);
        } catch (IOException e) {
            Http.reset(client);
            Http.reset(server);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                awaitOpen();
                from.setSoTimeout(20);
                int count;
                try {
                    count = in.read(buffer);
                } catch (java.net.SocketTimeoutException e) {
                    continue;
                }
                // Bytes that were read as the partition began are held as well.
                awaitOpen();
                if (count < 0) {
                    to.shutdownOutput();
                    return;
                }
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            Http.reset(from);
            Http.reset(to);
        }
    }

    private void awaitOpen() {
        while (isHolding) Store.pause(5);
    }
}
