package org.snipewind.standins.target;

import io.micronaut.serde.annotation.Serdeable;

/**
 * A time during which a target held a slice.
 *
 * @param target name of the target
 * @param incarnation run of the target
 * @param slice slice number
 * @param token fencing token
 * @param fromMicros start in microseconds since the epoch
 * @param untilMicros end in microseconds since the epoch, as far as granted now
 */
@Serdeable
public record GrantInterval(
        String target, String incarnation, int slice, long token, long fromMicros, long untilMicros) {}
