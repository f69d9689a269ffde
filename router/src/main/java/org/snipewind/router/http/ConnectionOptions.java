package org.snipewind.router.http;

import java.util.function.Consumer;
import org.snipewind.coordination.clock.MillisClock;

/**
 * What the connections to one server have in common.
 *
 * @param maxResponseBytes largest response body
 * @param memory memory for the bodies of responses
 * @param clock clock for the age of findings
 * @param onUnsolicited receives findings of bytes that belong to no request
 * @param onClosed called once when a connection that was opened is closed
 */
public record ConnectionOptions(
        int maxResponseBytes,
        BufferMemory memory,
        MillisClock clock,
        Consumer<UnsolicitedBytes> onUnsolicited,
        Runnable onClosed) {}
