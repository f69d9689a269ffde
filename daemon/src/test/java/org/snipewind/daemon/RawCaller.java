package org.snipewind.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.snipewind.daemon.settings.Endpoint;

/** A connection that sends exactly the bytes that a test gives, also those that HTTP clients would reject. */
final class RawCaller implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    /** A response as received; the status is 0 if the connection was closed without a response. */
    static final class Response {
        int status;
        String reason = "";
        final List<String> headers = new ArrayList<>();
        byte[] body = new byte[0];

        List<String> values(String name) {
            return headers.stream()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .toList();
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    RawCaller(Endpoint endpoint) {
        try {
            socket = new Socket(endpoint.host(), endpoint.port());
            socket.setSoTimeout(TIMEOUT_MILLIS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Response exchange(Endpoint endpoint, String text) {
        try (RawCaller caller = new RawCaller(endpoint)) {
            caller.send(text);
            return caller.readResponse(text.startsWith("HEAD"));
        }
    }

    void send(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Response readResponse(boolean headOnly) {
        Response response = new Response();
        try {
            InputStream input = socket.getInputStream();
            String start = readLine(input);
            if (start.isEmpty()) {
                return response;
            }
            String[] parts = start.split(" ", 3);
            response.status = Integer.parseInt(parts[1]);
            response.reason = parts.length > 2 ? parts[2] : "";
            for (String next = readLine(input); !next.isEmpty(); next = readLine(input)) {
                response.headers.add(next);
            }
            List<String> length = response.values("Content-Length");
            if (!headOnly && !length.isEmpty()) {
                response.body = input.readNBytes(Integer.parseInt(length.get(0)));
            }
        } catch (IOException e) {
            // The server closed the connection before it had read the whole request.
            return response;
        }
        return response;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0 && next != '\n'; next = input.read()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).trim();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
