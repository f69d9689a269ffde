package org.snipewind.router.port;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The contents of the headers of a caller's request.
 *
 * @param requestId id of this attempt of the caller
 * @param remainingMillis how long the caller will wait for the response
 * @param organisationKey access key of the caller's organisation
 * @param shardKey key that determines the target that owns the request
 */
public record RequestHeaders(
        Optional<String> requestId,
        OptionalLong remainingMillis,
        Optional<String> organisationKey,
        OptionalInt shardKey) {}
