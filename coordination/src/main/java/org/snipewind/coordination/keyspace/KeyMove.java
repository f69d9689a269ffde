package org.snipewind.coordination.keyspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A planned change of the holder of a key range.
 *
 * @param from first key, inclusive
 * @param to last key, inclusive
 * @param source target incarnation that may hold the keys now, or empty if there is none
 * @param destination target incarnation that is to hold them
 */
public record KeyMove(int from, int to, Optional<String> source, String destination) {

    /**
     * Merges moves of neighbouring ranges that have the same holders.
     *
     * @param moves moves in the order of their keys
     * @return equivalent moves
     */
    static List<KeyMove> merge(List<KeyMove> moves) {
        List<KeyMove> merged = new ArrayList<>();
        for (KeyMove move : moves) {
            int last = merged.size() - 1;
            if (last >= 0
                    && merged.get(last).to() + 1 == move.from()
                    && merged.get(last).destination().equals(move.destination())
                    && merged.get(last).source().equals(move.source())) {
                merged.set(last, new KeyMove(merged.get(last).from(), move.to(), move.source(), move.destination()));
            } else {
                merged.add(move);
            }
        }
        return merged;
    }
}
