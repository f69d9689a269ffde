package org.snipewind.standins.target;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** Reads the wall clock, which all processes of one machine share. */
final class EpochMicros {

    private EpochMicros() {}

    static long now() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
