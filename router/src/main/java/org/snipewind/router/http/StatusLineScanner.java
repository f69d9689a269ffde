package org.snipewind.router.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Finds the status line of a second response within what was decoded as one, because the server broke off the first
 * response and sent the next one on the same connection. Works on the bytes, since decoding drops some of them.
 */
final class StatusLineScanner {

    /** Length of the shortest text that the pattern matches, in bytes. */
    static final int STATUS_LINE_BYTES = "HTTP/1.1 200 ".length();

    /** Part of each status line; looking for it is cheaper than for the pattern. */
    private static final String PROTOCOL = "HTTP/1.";

    /** Every status line that the decoder accepts; a header value may name a protocol and an address, such as Via. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01][ \\t]+[0-9]{3}[ \\t\\r\\n]");

    /** End of a part that is searched again with the next one, in which a status line may continue. */
    private static final int KEPT_BYTES = 32;

    /** Bytes that are copied at a time, since bodies can be large. */
    private static final int SCANNED_BYTES = 8 * 1024;

    private String end = "";
    private boolean found;

    /** Scans the next part of a response; its reader index is not changed. */
    void scan(ByteBuf part) {
        for (int start = part.readerIndex(); start < part.writerIndex(); start += SCANNED_BYTES) {
            int length = Math.min(SCANNED_BYTES, part.writerIndex() - start);
            String scanned = end + part.toString(start, length, StandardCharsets.ISO_8859_1);
            found |= scanned.contains(PROTOCOL) && STATUS_LINE.matcher(scanned).find();
            end = scanned.substring(Math.max(0, scanned.length() - KEPT_BYTES));
        }
    }

    /** Returns whether a status line was found in the parts scanned so far. */
    boolean hasFound() {
        return found;
    }
}
