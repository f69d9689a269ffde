package org.snipewind.standins.store;

import io.micronaut.serde.annotation.Serdeable;
import java.util.Map;

/**
 * State and counters of the stand-in for the store.
 *
 * @param faults current faults
 * @param calls calls since the start by kind: get, swap and watch
 * @param callsByCaller calls since the start by the id of the caller
 * @param callsPerSecond calls per second by kind over the last ten full seconds
 * @param waitingWatches number of watches that wait now
 * @param versions version of each value by key
 */
@Serdeable
public record StoreStandInReport(
        StoreFaults faults,
        Map<String, Long> calls,
        Map<String, Long> callsByCaller,
        Map<String, Double> callsPerSecond,
        int waitingWatches,
        Map<String, Long> versions) {}
