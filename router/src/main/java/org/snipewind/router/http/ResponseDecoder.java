package org.snipewind.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes responses. A response to a HEAD request has no body, whatever its headers say. Empty lines before a response,
 * which the base class skips without a limit, count towards the limit on the size of its head.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final Set<String> PROTOCOLS = Set.of("HTTP/1.0", "HTTP/1.1");

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private static final ByteBuf END_OF_HEAD =
            Unpooled.unreleasableBuffer(Unpooled.copiedBuffer("\r\n\r\n", StandardCharsets.US_ASCII));

    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("\r\ncontent-length:[ \t]*([0-9]{1,15})", Pattern.CASE_INSENSITIVE);

    /** Part of a response that is decoded next. */
    private enum Part {
        BEFORE,
        HEAD,
        BODY,
        AFTER
    }

    private final int maxHeadBytes;
    private int headBytes;
    private StatusLineScanner scanner = new StatusLineScanner();
    private Part part = Part.BEFORE;
    private boolean scanningBody;
    private boolean respondingToHead;
    private Predicate<ByteBuf> bytesFilter = bytes -> true;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
        maxHeadBytes = config.getMaxInitialLineLength() + config.getMaxHeaderSize();
    }

    /** Sets a filter that gets all bytes before they are decoded; those that it does not accept are dropped. */
    void setBytesFilter(Predicate<ByteBuf> filter) {
        bytesFilter = filter;
    }

    /** Returns the number of bytes that were received but not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns the first of the bytes that were received but not decoded, as many as a status line has at least. */
    ByteBuf undecodedStart() {
        ByteBuf buffer = internalBuffer();
        return buffer.slice(
                buffer.readerIndex(), Math.min(buffer.readableBytes(), StatusLineScanner.STATUS_LINE_BYTES));
    }

    /** Returns whether the bytes that were not decoded begin like a response. */
    boolean isAtStatusLine() {
        return beginsLikeResponse(internalBuffer());
    }

    /** Returns what undecoded bytes are: the beginning of a response that the server broke off, or the given kind. */
    UnsolicitedKind classifyUndecoded(UnsolicitedKind otherwise) {
        return classify(internalBuffer(), otherwise);
    }

    /** Returns what bytes are: the beginning of a response that the server broke off, or the given kind. */
    static UnsolicitedKind classify(ByteBuf bytes, UnsolicitedKind otherwise) {
        return beginsLikeResponse(bytes) && !isWhole(bytes) ? UnsolicitedKind.BROKEN_OFF_RESPONSE : otherwise;
    }

    /** Returns whether bytes contain the head of a response and as much of its body as the head says. */
    private static boolean isWhole(ByteBuf bytes) {
        int headBytes = ByteBufUtil.indexOf(END_OF_HEAD, bytes) - bytes.readerIndex() + END_OF_HEAD.readableBytes();
        if (headBytes < END_OF_HEAD.readableBytes()) {
            return false;
        }
        Matcher length =
                CONTENT_LENGTH.matcher(bytes.toString(bytes.readerIndex(), headBytes, StandardCharsets.ISO_8859_1));
        return !length.find() || Long.parseLong(length.group(1)) <= bytes.readableBytes() - headBytes;
    }

    private static boolean beginsLikeResponse(ByteBuf bytes) {
        int length = Math.min(bytes.readableBytes(), StatusLineScanner.STATUS_LINE_BYTES);
        String start = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
        return PROTOCOLS.stream().anyMatch(protocol -> start.startsWith(protocol) || protocol.startsWith(start));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes && !bytesFilter.test(bytes)) {
            bytes.release();
            return;
        }
        super.channelRead(context, message);
    }

    void expectResponseToHead(boolean toHead) {
        respondingToHead = toHead;
    }

    /** Includes the body of the response in the search for another response; heads are always included. */
    void scanBody() {
        scanningBody = true;
    }

    /** Returns whether another response was found within the one that is being decoded. */
    boolean hasMergedResponses() {
        return scanner.hasFound();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (part == Part.AFTER) {
            part = Part.BEFORE;
            scanner = new StatusLineScanner();
            scanningBody = false;
        }
        int start = buffer.readerIndex();
        int readable = buffer.readableBytes();
        int decoded = out.size();
        super.decode(context, buffer, out);
        scan(buffer, start);
        if (out.size() > decoded) {
            part = out.get(out.size() - 1) instanceof LastHttpContent ? Part.AFTER : Part.BODY;
        }
        headBytes = out.size() == decoded ? headBytes + readable - buffer.readableBytes() : 0;
        if (headBytes > maxHeadBytes) {
            throw new TooLongHttpHeaderException("response head or chunk header exceeds " + maxHeadBytes + " bytes");
        }
    }

    /** Scans the bytes that were decoded, but not the response's own status line. */
    private void scan(ByteBuf buffer, int start) {
        int first = start;
        while (part == Part.BEFORE && first < buffer.readerIndex()) {
            if (buffer.getByte(first) > ' ') {
                part = Part.HEAD;
            }
            first++;
        }
        if (part != Part.BODY || scanningBody) {
            scanner.scan(buffer.slice(first, buffer.readerIndex() - first));
        }
    }

    /** Returns whether a response has a body, which its status and the request's method decide. */
    boolean hasBody(HttpMessage message) {
        return !isContentAlwaysEmpty(message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        // The base class accepts any protocol name, such as the rest of a response that was cut in its status line.
        if (!PROTOCOLS.contains(initialLine[0])) {
            throw new IllegalArgumentException("protocol is not HTTP/1.0 or HTTP/1.1");
        }
        // The base class accepts any integer, and a sign.
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("status is not from 100 to 599");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return respondingToHead || super.isContentAlwaysEmpty(message);
    }
}
