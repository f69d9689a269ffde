package org.snipewind.router.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds the status line of a second response within what was decoded as one, because the server broke off the first
 * response and sent the next one on the same connection.
 */
final class StatusLineScanner {

    /** Part of each status line; looking for it is cheaper than for the pattern. */
    private static final String PROTOCOL = "HTTP/1.";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    /** Length of the longest incomplete match of the pattern, in characters. */
    private static final int MAX_INCOMPLETE_LENGTH = "HTTP/1.1 200".length() - 1;

    /** Bytes that are copied at a time, since bodies can be large. */
    private static final int SCANNED_BYTES = 8 * 1024;

    private String end = "";
    private boolean found;

    /** Returns whether the head of a response contains the status line of another one. */
    static boolean isInHead(HttpResponse response) {
        return contains(response.status().reasonPhrase()) || isInHeaders(response.headers());
    }

    private static boolean isInHeaders(HttpHeaders headers) {
        Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            if (contains(entry.getKey()) || contains(entry.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean contains(CharSequence text) {
        return text.toString().contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }

    /** Scans the next part of a body; its reader index is not changed. */
    void scan(ByteBuf part) {
        for (int start = part.readerIndex(); start < part.writerIndex(); start += SCANNED_BYTES) {
            int length = Math.min(SCANNED_BYTES, part.writerIndex() - start);
            String scanned = end + part.toString(start, length, StandardCharsets.ISO_8859_1);
            found |= contains(scanned);
            end = scanned.substring(Math.max(0, scanned.length() - MAX_INCOMPLETE_LENGTH));
        }
    }

    /** Returns whether a status line was found in the parts scanned so far. */
    boolean hasFound() {
        return found;
    }
}
