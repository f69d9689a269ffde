package org.snipewind.clients.transport;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against bytes of a server that no request asked for and that are read as the response to the next request, or
 * as the beginning of it.
 */
final class UnsolicitedBytesTest {

    private static final long MAX_WAIT_MILLIS = 5_000;

    /** Longer than bytes that were sent on loopback need to arrive. */
    private static final long ARRIVAL_MILLIS = 150;

    private static final String FIRST = "HTTP/1.1 409 Conflict\r\nContent-Length: 3\r\n\r\none";
    private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";

    private final BlockingQueue<Socket> requests = new LinkedBlockingQueue<>();
    private ServerSocket listener;
    private HttpTransport transport;

    @BeforeEach
    void start() throws IOException {
        listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket connection = listener.accept();
                startThread(() -> readRequests(connection));
            }
        });
        transport = new HttpTransport(HttpTransportSettings.of(4, 1_000, 2_000));
    }

    @AfterEach
    void stop() throws IOException {
        transport.close();
        listener.close();
    }

    @Test
    void noPartOfACopyOnAnIdleConnectionIsReadAsAResponse() throws Exception {
        for (int length = 1; length <= FIRST.length(); length += 2) {
            Socket connection = receiveFirst(FIRST);
            write(connection, FIRST.substring(0, length));
            TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
            checkSecond(length);
        }
        Socket connection = receiveFirst(FIRST);
        write(connection, FIRST);
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
        checkSecond(FIRST.length());
    }

    @Test
    void noPartOfACopyBehindAResponseIsReadAsTheNextResponse() throws Exception {
        for (int length = 1; length <= FIRST.length(); length++) {
            receiveFirst(FIRST + FIRST.substring(0, length));
            checkSecond(length);
        }
    }

    /** A target in trouble sent a response with status 000, and a client received it. */
    @Test
    void aResponseWhoseStatusIsNotFrom100To599IsAFailure() throws Exception {
        for (String status : List.of("000", "0", "20", "99", "099", "600", "999", "1000", "-200", "2 00")) {
            CompletableFuture<BufferedResponse> outcome = send();
            write(nextRequest(), "HTTP/1.1 " + status + " Status\r\nContent-Length: 3\r\n\r\none");
            String received = outcome.handle(
                            (response, failure) -> failure == null ? Integer.toString(response.status()) : "failed")
                    .get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
            assertWithMessage("status %s", status).that(received).isEqualTo("failed");
        }
    }

    private Socket receiveFirst(String response) throws Exception {
        CompletableFuture<BufferedResponse> first = send();
        Socket connection = nextRequest();
        write(connection, response);
        assertWithMessage("first response")
                .that(first.get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS).status())
                .isEqualTo(409);
        return connection;
    }

    /** Checks that a request gets its own response, or none if the copy has ended its connection. */
    private void checkSecond(int copiedBytes) throws Exception {
        CompletableFuture<BufferedResponse> second = send();
        Socket connection = requests.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        if (connection != null) {
            write(connection, SECOND);
        }
        String outcome = second.handle(
                        (response, failure) -> failure == null ? Integer.toString(response.status()) : "failed")
                .get(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertWithMessage("after %s bytes of a copy", copiedBytes).that(outcome).isAnyOf("200", "failed");
    }

    private CompletableFuture<BufferedResponse> send() {
        URI uri = URI.create("http://127.0.0.1:" + listener.getLocalPort() + "/");
        return transport.exchange("GET", uri, Map.of(), new byte[0], 1_000);
    }

    private Socket nextRequest() throws InterruptedException {
        Socket connection = requests.poll(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        assertWithMessage("connection of the request").that(connection).isNotNull();
        return connection;
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void readRequests(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.append((char) next);
            if (head.indexOf("\r\n\r\n") >= 0) {
                head.setLength(0);
                requests.add(connection);
            }
        }
    }

    private interface BlockingTask {
        void run() throws IOException;
    }

    private static void startThread(BlockingTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection or the listener was closed.
                    }
                },
                "server");
        thread.setDaemon(true);
        thread.start();
    }
}
