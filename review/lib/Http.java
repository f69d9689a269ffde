import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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

/** A small HTTP/1.1 server on a loopback port, one thread a connection, one request at a time on each. */
abstract class Http {

    /** A message as it was read; names of headers are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A response that a stand-in is about to send. */
    static final class Reply {
        final int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        final byte[] body;

        Reply(int status, String body) {
            this.status = status;
            this.body = body.getBytes(StandardCharsets.UTF_8);
        }

        Reply with(String name, String value) {
            headers.put(name, value);
            return this;
        }

        byte[] bytes() {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            head.append("Content-Length: " + body.length + "\r\n\r\n");
            byte[] start = head.toString().getBytes(StandardCharsets.UTF_8);
            byte[] all = new byte[start.length + body.length];
            System.arraycopy(start, 0, all, 0, start.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            return all;
        }
    }

    /** One accepted connection. */
    final class Connection {
        final Socket socket;

        Connection(Socket socket) {
            this.socket = socket;
        }

        synchronized void send(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }

        boolean isGone() {
            return gone;
        }

        volatile boolean gone;

        void reset() {
            gone = true;
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    private final ServerSocket listener;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    /** New and open connections are reset while this is set. */
    volatile boolean resetting;

    Http(int port) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
        thread("accept", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Connection connection = new Connection(listener.accept());
                connection.socket.setTcpNoDelay(true);
                if (resetting) {
                    connection.reset();
                    continue;
                }
                connections.add(connection);
                thread("serve", () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Connection connection) {
        try {
            InputStream in = new BufferedInputStream(connection.socket.getInputStream(), 65_536);
            while (true) {
                Message request = read(in);
                if (request == null) {
                    break;
                }
                Reply reply = handle(request, connection);
                if (resetting) {
                    break;
                }
                if (reply != null) {
                    connection.send(reply.bytes());
                    sent(request, reply, connection);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The peer has ended the connection.
        } finally {
            connections.remove(connection);
            connection.reset();
        }
    }

    /** Returns the answer, or null to leave the request without one. */
    abstract Reply handle(Message request, Connection connection) throws IOException;

    void sent(Message request, Reply reply, Connection connection) throws IOException {}

    void resetAll() {
        resetting = true;
        connections.forEach(Connection::reset);
    }

    void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
        connections.forEach(Connection::reset);
    }

    /** Reads a request or a response with a length or in chunks; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String line = line(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            line = line(in);
        }
        if (line == null) {
            throw new IOException("the head is cut");
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body is cut");
        }
        return new Message(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder built = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                built.append((char) next);
            }
            next = in.read();
        }
        return next < 0 ? null : built.toString();
    }
}
