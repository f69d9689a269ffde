package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * An interval during which a target held a slice.
 *
 * @param target name of the target
 * @param incarnation incarnation of the target
 * @param slice number of the slice
 * @param token fencing token
 * @param fromMicros start in microseconds since the epoch
 * @param untilMicros end in microseconds since the epoch, according to the grants so far
 */
@Serdeable
public record GrantInterval(
        String target, String incarnation, int slice, long token, long fromMicros, long untilMicros) {}
