package org.snipewind.router.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.snipewind.coordination.clock.ManualMillisClock;

/** A connection whose first request, with the id 1, has been answered. */
final class ConnectionProbe {

    private final ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig());
    private final List<UnsolicitedKind> kinds = new ArrayList<>();
    private final HttpConnection connection = new HttpConnection(
            decoder,
            new ConnectionOptions(
                    100_000,
                    new BufferMemory(1_000_000),
                    new ManualMillisClock(0),
                    found -> kinds.add(found.kind()),
                    () -> {}));
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
    private Optional<BufferedResponse> response = Optional.empty();
    private Optional<ExchangeException> failure = Optional.empty();

    /** Sends the first request and receives its response, with further bytes in the same packet. */
    ConnectionProbe(String bytesBehindResponse) {
        exchange("1");
        receive("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1.1\r\nContent-Length: 2\r\n\r\nok" + bytesBehindResponse);
        assertThat(response).isPresent();
    }

    /** Returns a connection whose second request, with the id 2, has been sent. */
    static ConnectionProbe awaitingSecondResponse() {
        ConnectionProbe probe = new ConnectionProbe("");
        probe.exchange("2");
        return probe;
    }

    private void exchange(String id) {
        response = Optional.empty();
        failure = Optional.empty();
        connection.exchange(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER),
                TestMatchers.named(id),
                new ExchangeListener() {
                    @Override
                    public void responseReceived(BufferedResponse received) {
                        response = Optional.of(received);
                    }

                    @Override
                    public void exchangeFailed(ExchangeException cause) {
                        failure = Optional.of(cause);
                    }
                });
        channel.releaseOutbound();
    }

    void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    void receiveInPackets(String text, IntSupplier packetBytes) {
        int start = 0;
        while (start < text.length() && channel.isActive()) {
            int end = Math.min(text.length(), start + packetBytes.getAsInt());
            receive(text.substring(start, end));
            start = end;
        }
    }

    void close() {
        channel.close();
    }

    boolean isReusable() {
        return connection.isReusable();
    }

    boolean isOpen() {
        return channel.isActive();
    }

    Optional<BufferedResponse> response() {
        return response;
    }

    Optional<ExchangeException> failure() {
        return failure;
    }

    /** Returns the kinds of bytes that belonged to no request. */
    List<UnsolicitedKind> kinds() {
        return kinds;
    }

    /** Checks that the second request has its own response, or failed as one that may have run. */
    void checkOwnResponseOrFailure(String description, String rightBody) {
        assertWithMessage(description + ": the exchange has ended")
                .that(response.isPresent() || failure.isPresent())
                .isTrue();
        failure.ifPresent(cause ->
                assertWithMessage(description).that(cause.isPossiblySent()).isTrue());
        if (response.isPresent()) {
            checkOwnResponse(description, rightBody);
        }
    }

    /** Checks that the second request has its own response, whole. */
    void checkOwnResponse(String description, String rightBody) {
        assertWithMessage(description + failure.map(Throwable::getMessage))
                .that(response)
                .isPresent();
        BufferedResponse received = response.orElseThrow();
        assertWithMessage(description).that(received.status()).isEqualTo(500);
        assertWithMessage(description).that(received.headers().getAll("Id")).containsExactly("2");
        assertWithMessage(description).that(received.headers().getAll("Signed")).containsExactly("2.1");
        assertWithMessage(description)
                .that(new String(received.body(), StandardCharsets.ISO_8859_1))
                .isEqualTo(rightBody);
    }
}
