package org.snipewind.standins.target;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Reads the wall clock in microseconds since the epoch; all processes of a machine share this clock. */
final class EpochMicros {

    private EpochMicros() {}

    static long now() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
