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

/** A connection that sends exactly the bytes of a test, which no HTTP client would allow. */
final class RawCaller implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;

    /** An answer as it arrived; status 0 if the connection ended without one. */
    static final class Answer {
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

    static Answer exchange(Endpoint endpoint, String text) {
        try (RawCaller caller = new RawCaller(endpoint)) {
            caller.send(text);
            return caller.read(text.startsWith("HEAD"));
        }
    }

    void send(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Answer read(boolean headOnly) {
        Answer answer = new Answer();
        try {
            InputStream input = socket.getInputStream();
            String start = line(input);
            if (start.isEmpty()) {
                return answer;
            }
            String[] parts = start.split(" ", 3);
            answer.status = Integer.parseInt(parts[1]);
            answer.reason = parts.length > 2 ? parts[2] : "";
            for (String next = line(input); !next.isEmpty(); next = line(input)) {
                answer.headers.add(next);
            }
            List<String> length = answer.values("Content-Length");
            if (!headOnly && !length.isEmpty()) {
                answer.body = input.readNBytes(Integer.parseInt(length.get(0)));
            }
        } catch (IOException e) {
            // The server closed the connection without reading everything.
            return answer;
        }
        return answer;
    }

    private static String line(InputStream input) throws IOException {
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
