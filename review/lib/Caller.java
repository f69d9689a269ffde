import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One consumer's connection, kept between requests. */
final class Caller implements AutoCloseable {

    private final Socket socket;
    private final InputStream in;

    Caller(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and returns the answer, null if the connection ends without one. */
    Http.Message call(String method, String path, String id, String key, int shardKey, int deadlineMillis, byte[] body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nSnipewind-Request-Id: " + id
                + "\r\nSnipewind-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + key
                + (shardKey >= 0 ? "\r\nSnipewind-Shard-Key: " + shardKey : "")
                + (body.length > 0 ? "\r\nContent-Length: " + body.length : "") + "\r\n\r\n";
        socket.setSoTimeout(deadlineMillis + 2_000);
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        if (body.length > 0) {
            socket.getOutputStream().write(body);
        }
        return Http.read(in);
    }

    Socket socket() {
        return socket;
    }

    InputStream in() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
