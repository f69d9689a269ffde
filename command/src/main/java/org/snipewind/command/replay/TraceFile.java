package org.snipewind.command.replay;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.snipewind.clients.transport.JsonCodec;

/** Reads and writes traces as JSON lines. */
public final class TraceFile {

    private TraceFile() {}

    /**
     * Reads a trace.
     *
     * @param file path of the file
     * @return the requests in the order of their send times
     * @throws IOException if the file cannot be read or a line is not a valid request
     */
    public static List<TraceRequest> read(Path file) throws IOException {
        List<TraceRequest> requests = new ArrayList<>();
        int lineNumber = 0;
        for (String line : Files.readAllLines(file)) {
            lineNumber++;
            if (!line.isBlank()) {
                requests.add(parse(file, lineNumber, line));
            }
        }
        requests.sort(Comparator.comparingLong(TraceRequest::timeMillis));
        return requests;
    }

    /**
     * Writes a trace.
     *
     * @param file path of the file
     * @param requests requests to write
     * @throws IOException if the file cannot be written
     */
    public static void write(Path file, List<TraceRequest> requests) throws IOException {
        Files.write(
                file,
                requests.stream()
                        .map(request -> new String(JsonCodec.encode(request), StandardCharsets.UTF_8))
                        .toList());
    }

    private static TraceRequest parse(Path file, int lineNumber, String line) throws IOException {
        try {
            TraceRequest request = JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), TraceRequest.class);
            if (request.route() == null || request.timeMillis() < 0 || request.entry() < 0) {
                throw new IOException(
                        file + ":" + lineNumber + ": a request needs a route, and no negative time or entry");
            }
            return request;
        } catch (UncheckedIOException failure) {
            throw new IOException(file + ":" + lineNumber + ": not a request of a trace", failure);
        }
    }
}
