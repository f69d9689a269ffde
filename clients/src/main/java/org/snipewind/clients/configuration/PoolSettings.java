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
 * @param slots maximum number of concurrent requests of one target
 * @param longestDeadlineMillis maximum deadline of a request to the pool in milliseconds
 * @param coldStart concurrency limits of a target in cold start
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

    /** Copies the targets, sorted by name. */
    public PoolSettings {
        targets = Collections.unmodifiableMap(new TreeMap<>(targets));
    }
}
