package org.snipewind.clients.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** A raw socket server that responds to cancellations at once and to other requests, in order, with given bytes. */
final class ScriptedServer implements AutoCloseable {

    /** Closes the connection without a response. */
    static final String CLOSE = "";
    /** Sends no response and keeps the connection open. */
    static final String NO_RESPONSE = "no response";

    private final ServerSocket socket;
    private final List<String> responses;
    private final boolean closesAfterResponse;
    private final List<String> requests = new CopyOnWriteArrayList<>();

    ScriptedServer(boolean closesAfterResponse, String... responses) throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.closesAfterResponse = closesAfterResponse;
        this.responses = new CopyOnWriteArrayList<>(responses);
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    List<String> requests() {
        return requests;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                start(() -> serve(connection));
            }
        } catch (IOException e) {
            // The socket was closed.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            for (String head = readHead(connection.getInputStream());
                    !head.isEmpty();
                    head = readHead(connection.getInputStream())) {
                String response;
                synchronized (responses) {
                    requests.add(head);
                    response = head.startsWith("DELETE")
                            ? "HTTP/1.1 204 No Content\r\n\r\n"
                            : responses.isEmpty() ? CLOSE : responses.remove(0);
                }
                if (!response.equals(NO_RESPONSE)) {
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                    if (response.isEmpty() || closesAfterResponse) {
                        return;
                    }
                }
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        for (String line : head.toString().split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                input.readNBytes(
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()));
            }
        }
        return head.toString();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }
}
