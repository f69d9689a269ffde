package org.snipewind.router.port;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param requestId id of this attempt of the caller
 * @param remainingMillis how long the caller waits
 * @param organisationKey key of the caller's organisation
 * @param shardKey key that decides on the owner
 */
public record RequestHeaders(
        Optional<String> requestId,
        OptionalLong remainingMillis,
        Optional<String> organisationKey,
        OptionalInt shardKey) {}
