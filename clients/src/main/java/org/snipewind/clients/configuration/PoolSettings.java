package org.snipewind.clients.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.micronaut.serde.annotation.Serdeable;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Settings of a pool of targets.
 *
 * @param divided whether each key has one owner among the targets
 * @param checksTokens whether the targets check fencing tokens and grants
 * @param slots requests that one target runs at a time
 * @param longestDeadlineMillis longest deadline of a request to the pool in milliseconds
 * @param coldStart limits of a target in cold start
 * @param targets targets by name
 */
@Serdeable
@JsonInclude(JsonInclude.Include.ALWAYS)
public record PoolSettings(
        boolean divided,
        boolean checksTokens,
        int slots,
        long longestDeadlineMillis,
        ColdStartSettings coldStart,
        Map<String, TargetSettings> targets) {

    /** Copies the targets in the order of their names. */
    public PoolSettings {
        targets = Collections.unmodifiableMap(new TreeMap<>(targets));
    }
}
