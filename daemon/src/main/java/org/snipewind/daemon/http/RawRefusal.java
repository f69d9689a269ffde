package org.snipewind.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import org.snipewind.coordination.error.ErrorKind;

/** Refuses requests of connections on which the HTTP server has not taken a request over. */
final class RawRefusal {

    private RawRefusal() {}

    /** Writes the refusal past all handlers, and closes the connection when it is written. */
    static void sendAndClose(Channel channel, ErrorKind kind, String detail) {
        byte[] response = response(kind, detail).getBytes(StandardCharsets.US_ASCII);
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(response))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static String response(ErrorKind kind, String detail) {
        String execution = kind.execution().wireName();
        String body = "{\"kind\":\"" + kind.wireName() + "\",\"execution\":\"" + execution + "\",\"detail\":\"" + detail
                + "\"}";
        return "HTTP/1.1 " + kind.status() + " " + kind.wireName() + "\r\nContent-Type: application/json\r\n"
                + "Snipewind-Error: " + kind.wireName() + "\r\nSnipewind-Execution: " + execution
                + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
