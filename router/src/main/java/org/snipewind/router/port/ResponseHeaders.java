package org.snipewind.router.port;

import java.util.Optional;
import java.util.OptionalLong;
import org.snipewind.coordination.target.LoadReport;

/**
 * What the headers of a target's answer say.
 *
 * @param requestId id of the request that it answers
 * @param signed whether it carries the target's signature
 * @param notExecuted whether the target says that it did not run the request
 * @param misdirected whether another target has the address, or the target does not hold the key
 * @param load load of the target
 * @param coldStartRemainingMillis how much longer the target is in cold start
 */
public record ResponseHeaders(
        Optional<String> requestId,
        boolean signed,
        boolean notExecuted,
        boolean misdirected,
        Optional<LoadReport> load,
        OptionalLong coldStartRemainingMillis) {}
