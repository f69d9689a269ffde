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

/** A raw socket server that answers cancellations at once and other requests, in their order, with given bytes. */
final class ScriptedServer implements AutoCloseable {

    /** Closes the connection without an answer. */
    static final String CLOSE = "";
    /** Sends nothing and keeps the connection. */
    static final String SILENCE = "silence";

    private final ServerSocket socket;
    private final List<String> answers;
    private final boolean closesAfterAnswer;
    private final List<String> requests = new CopyOnWriteArrayList<>();

    ScriptedServer(boolean closesAfterAnswer, String... answers) throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.closesAfterAnswer = closesAfterAnswer;
        this.answers = new CopyOnWriteArrayList<>(answers);
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
            for (String head = head(connection.getInputStream());
                    !head.isEmpty();
                    head = head(connection.getInputStream())) {
                String answer;
                synchronized (answers) {
                    requests.add(head);
                    answer = head.startsWith("DELETE")
                            ? "HTTP/1.1 204 No Content\r\n\r\n"
                            : answers.isEmpty() ? CLOSE : answers.remove(0);
                }
                if (!answer.equals(SILENCE)) {
                    connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    if (answer.isEmpty() || closesAfterAnswer) {
                        return;
                    }
                }
            }
        } catch (IOException e) {
            // The client closed the connection.
        }
    }

    private static String head(InputStream input) throws IOException {
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
