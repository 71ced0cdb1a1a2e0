import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on loopback sockets: a server with a thread for each connection, and single calls. */
final class Http {
    static final String HOST = "127.0.0.1";

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

    record Response(int status, String body) {}

    /** Handles a request; null resets the connection without a response. */
    interface Handler {
        Response handle(Request request) throws InterruptedException;
    }

    private static int next = 20_000 + (int) (ProcessHandle.current().pid() * 97 % 11_000);

    private Http() {}

    /** A free port below those that the operating system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = next++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                if (next > 32_000) {
                    throw e;
                }
            }
        }
    }

    /** A server that can be stopped like a process that dies: its connections are reset. */
    static final class Server {
        private final Handler handler;
        private final ServerSocket listener;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean stopped;

        /** @param port 0 for a free port */
        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(HOST), port), 256);
            daemon(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        void stop() {
            stopped = true;
            try {
                listener.close();
            } catch (IOException e) {
                // The listener is closed in any case.
            }
            resetConnections();
        }

        void resetConnections() {
            connections.forEach(Server::reset);
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // The connection is closed in any case.
            }
        }

        private void accept() {
            while (!stopped) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    if (!stopped) {
                        throw new IllegalStateException(e);
                    }
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Request request = request(in); request != null && !stopped; request = request(in)) {
                    Response response = handler.handle(request);
                    if (response == null || stopped) {
                        reset(socket);
                        return;
                    }
                    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + response.status() + " X\r\nContent-Type: application/json\r\n"
                            + "Content-Length: " + body.length + "\r\n\r\n";
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    out.write(head.getBytes(StandardCharsets.UTF_8));
                    out.write(body);
                    socket.getOutputStream().write(out.toByteArray());
                }
            } catch (IOException e) {
                // The peer has gone.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                connections.remove(socket);
            }
        }
    }

    /** Calls on a connection of its own; status 0 if there was no complete response. */
    static Response call(int port, String method, String path, Map<String, String> headers, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.UTF_8));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line = line(in);
            if (line == null) {
                return new Response(0, "");
            }
            return new Response(Integer.parseInt(line.split(" ")[1]), body(in, headers(in)));
        } catch (IOException e) {
            return new Response(0, "");
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static Request request(InputStream in) throws IOException {
        String line = line(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = headers(in);
        String body = body(in, headers);
        String[] target = words[1].split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], java.net.URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], target[0], query, headers, body);
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            String[] parts = line.split(":", 2);
            headers.put(parts[0].trim(), parts.length > 1 ? parts[1].trim() : "");
        }
        return headers;
    }

    private static String body(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("body ended early");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
