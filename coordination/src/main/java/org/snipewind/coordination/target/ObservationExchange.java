package org.snipewind.coordination.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges what the instances of a data centre have observed, and returns to each what the others have observed since its
 * last exchange. The state is soft: it is lost with the instance and expires. Not thread-safe.
 */
public final class ObservationExchange {

    /**
     * Time for which an observation is returned. Instances exchange every 250 ms; one that has lost several exchanges
     * in a row gets what is still useful.
     */
    static final long LIFETIME_MILLIS = 2_000;

    /** Maximum number of observations kept; 25 instances have about 1,000 in the lifetime under the highest load. */
    private static final int MAX_ENTRIES = 8_192;

    private record Entry(long sequence, String member, long receivedMillis, TargetObservation observation) {}

    /**
     * What an instance gets in an exchange.
     *
     * @param sequence number to be stated in the next exchange
     * @param observations merged observations of the other instances, at most one for each target
     */
    public record Result(long sequence, List<TargetObservation> observations) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private long sequence;

    /**
     * Adds the observations of an instance and returns those of the others.
     *
     * @param member id of the instance's process
     * @param knownSequence number of the last result that the instance received from this exchange, 0 if none
     * @param observations what the instance observed since its last exchange
     * @param nowMillis current time
     * @return observations by other instances since that result
     */
    public Result exchange(String member, long knownSequence, List<TargetObservation> observations, long nowMillis) {
        removeExpired(nowMillis);
        Result result = new Result(sequence + observations.size(), observationsSince(member, knownSequence, nowMillis));
        for (TargetObservation observation : observations) {
            sequence++;
            entries.addLast(new Entry(sequence, member, nowMillis, observation));
        }
        return result;
    }

    private List<TargetObservation> observationsSince(String member, long knownSequence, long nowMillis) {
        // A higher number than the last one is from an earlier process at the same address.
        long known = knownSequence > sequence ? 0 : knownSequence;
        Map<Integer, TargetObservation> merged = new LinkedHashMap<>();
        Iterator<Entry> newestFirst = entries.descendingIterator();
        while (newestFirst.hasNext()) {
            Entry entry = newestFirst.next();
            if (entry.sequence() <= known) {
                break;
            }
            if (!entry.member().equals(member)) {
                TargetObservation aged = entry.observation().aged(nowMillis - entry.receivedMillis());
                merged.merge(aged.target(), aged, TargetObservation::merge);
            }
        }
        return new ArrayList<>(merged.values());
    }

    private void removeExpired(long nowMillis) {
        while (!entries.isEmpty()
                && (entries.size() > MAX_ENTRIES
                        || nowMillis - entries.peekFirst().receivedMillis() > LIFETIME_MILLIS)) {
            entries.removeFirst();
        }
    }
}
