package org.snipewind.coordination.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import org.snipewind.coordination.keyspace.KeyAssignment;
import org.snipewind.coordination.keyspace.KeyMove;
import org.snipewind.coordination.keyspace.KeyTable;

/**
 * Plans which keys of a divided pool move to the version that is introduced, so that it gets its share of the requests.
 * Balancing by load alone would not do: it moves nothing between targets that are not busy.
 */
public final class IntroducedKeyPlanner {

    /** Keys are moved once the introduced version has less than this part of its share. */
    private static final double LEAST_PART_OF_SHARE = 0.8;

    /** Keys that are weighed together; a range of moved keys begins and ends with such a block or an assigned range. */
    private static final int BLOCK_KEYS = 64;

    /** Blocks of more than this part of the missing share stay, so that a hot key does not exceed it. */
    private static final double MAX_PART_OF_MISSING = 1.25;

    /** Weight of the fraction of all keys against that of the measured requests, which are few at low rates. */
    private static final double KEY_FRACTION_WEIGHT = 0.5;

    /** Most moves of one plan. */
    private static final int MAX_MOVES = 16;

    private final KeyTable table;
    private final NavigableMap<Integer, Double> rates;
    private final double totalRate;
    private final Map<String, Double> weights = new HashMap<>();

    private IntroducedKeyPlanner(KeyTable table, List<String> introduced, NavigableMap<Integer, Double> rates) {
        this.table = table;
        this.rates = rates;
        this.totalRate =
                rates.values().stream().mapToDouble(Double::doubleValue).sum();
        introduced.forEach(incarnation -> weights.put(incarnation, 0.0));
        table.assignments()
                .forEach(range -> weights.computeIfPresent(
                        range.holder(), (holder, weight) -> weight + weight(range.from(), range.to())));
    }

    /**
     * Plans moves to the introduced targets.
     *
     * @param table current holders
     * @param introduced incarnations of introduced targets that may hold keys
     * @param share fraction of the requests that they should get together
     * @param rates requests per second by key
     * @return the moves, none if they have about that share
     */
    public static List<KeyMove> plan(
            KeyTable table, List<String> introduced, double share, NavigableMap<Integer, Double> rates) {
        return introduced.isEmpty() || share <= 0 || share >= 1
                ? List.of()
                : new IntroducedKeyPlanner(table, introduced, rates).plan(share);
    }

    private List<KeyMove> plan(double share) {
        double missing = share
                - weights.values().stream().mapToDouble(Double::doubleValue).sum();
        List<KeyMove> moves = new ArrayList<>();
        if (missing < share * (1 - LEAST_PART_OF_SHARE)) {
            return moves;
        }
        double piece = missing / Math.min(weights.size(), MAX_MOVES);
        for (KeyAssignment range : table.assignments()) {
            if (range.isMoving() || weights.containsKey(range.holder())) {
                continue;
            }
            int next = range.from();
            while (next <= range.to() && missing > share * (1 - LEAST_PART_OF_SHARE) && moves.size() < MAX_MOVES) {
                int end = endOfPiece(next, range.to(), Math.min(piece, missing));
                if (end < next) {
                    next = endOfBlock(next, range.to()) + 1;
                    continue;
                }
                String destination = leastLoaded();
                double moved = weight(next, end);
                weights.merge(destination, moved, Double::sum);
                missing -= moved;
                moves.add(new KeyMove(next, end, Optional.of(range.holder()), destination));
                next = end + 1;
            }
        }
        return moves;
    }

    private String leastLoaded() {
        return weights.entrySet().stream()
                .min(Comparator.comparingDouble((Map.Entry<String, Double> entry) -> entry.getValue())
                        .thenComparing(Map.Entry::getKey))
                .orElseThrow()
                .getKey();
    }

    private static int endOfBlock(int from, int last) {
        return Math.min(last, from + BLOCK_KEYS - 1);
    }

    /** Returns the last key of so many blocks that they have a weight, or a key below the first if it is too hot. */
    private int endOfPiece(int from, int last, double wanted) {
        int end = from - 1;
        double sum = 0;
        while (end < last && sum < wanted) {
            int blockEnd = endOfBlock(end + 1, last);
            double block = weight(end + 1, blockEnd);
            if (sum + block > wanted * MAX_PART_OF_MISSING) {
                break;
            }
            sum += block;
            end = blockEnd;
        }
        return end;
    }

    private double weight(int from, int to) {
        double keyFraction = (to - from + 1.0) / (KeyTable.LAST_KEY + 1);
        if (totalRate == 0) {
            return keyFraction;
        }
        double rate = rates.subMap(from, true, to, true).values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        return KEY_FRACTION_WEIGHT * keyFraction + (1 - KEY_FRACTION_WEIGHT) * rate / totalRate;
    }
}
