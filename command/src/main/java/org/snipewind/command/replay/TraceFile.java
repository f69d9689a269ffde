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
     * @return the requests in the order of their times
     * @throws IOException if the file can't be read or a line is not a request
     */
    public static List<TraceRequest> read(Path file) throws IOException {
        List<TraceRequest> requests = new ArrayList<>();
        int number = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            if (!line.isBlank()) {
                requests.add(parse(file, number, line));
            }
        }
        requests.sort(Comparator.comparingLong(TraceRequest::timeMillis));
        return requests;
    }

    /**
     * Writes a trace.
     *
     * @param file path of the file
     * @param requests the requests
     * @throws IOException if the file can't be written
     */
    public static void write(Path file, List<TraceRequest> requests) throws IOException {
        Files.write(
                file,
                requests.stream()
                        .map(request -> new String(JsonCodec.encode(request), StandardCharsets.UTF_8))
                        .toList());
    }

    private static TraceRequest parse(Path file, int number, String line) throws IOException {
        try {
            TraceRequest request = JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), TraceRequest.class);
            if (request.route() == null || request.timeMillis() < 0 || request.entry() < 0) {
                throw new IOException(file + ":" + number + ": a request needs a route, and no negative time or entry");
            }
            return request;
        } catch (UncheckedIOException failure) {
            throw new IOException(file + ":" + number + ": not a request of a trace", failure);
        }
    }
}
