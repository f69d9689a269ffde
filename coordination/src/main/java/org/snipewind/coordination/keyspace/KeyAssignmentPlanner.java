package org.snipewind.coordination.keyspace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Plans which target holds which keys.
 *
 * <p>Keys without a usable holder are assigned first. Only if there are none, load is moved off targets that are close
 * to their capacity. Each such move takes the shortest range of neighbouring keys that carries the load, so that a hot
 * range is spread while all other keys keep their holder. Finally, a target that has just joined gets some of the load
 * of the busiest target.
 */
public final class KeyAssignmentPlanner {

    /** Fraction of its capacity above which load is moved off a target; queueing delay grows steeply beyond it. */
    private static final double OFFLOAD_UTILIZATION = 0.55;

    /** Utilization above which load is moved even if the excess may be due to chance. */
    private static final double CRITICAL_UTILIZATION = 0.75;

    /**
     * A move must reduce the load of its source to at most this fraction of the load before; a smaller gain does not
     * justify the pause in serving the moved keys.
     */
    private static final double MAX_REMAINING_LOAD_RATIO = 0.8;

    /** Smallest load that is moved off a target whose hot key leaves no larger range, as a fraction of its capacity. */
    private static final double MIN_MOVED_UTILIZATION = 0.1;

    /** A hot key moves only to a target whose utilization it brings to at most this fraction of that of its holder. */
    private static final double MAX_HOT_KEY_LOAD_RATIO = 0.67;

    /** Standard deviations of a measured load that are attributed to chance. */
    private static final double NOISE_DEVIATIONS = 2;

    /** The same for the usual load; what it gains is not urgent, and its plans are many. */
    private static final double BALANCE_NOISE_DEVIATIONS = 3;

    /** Maximum number of moves off busy targets in one plan, so that their effect is measured before the next plan. */
    private static final int MAX_OFFLOAD_MOVES = 8;

    /** Maximum number of moves in one plan that evens out the usual load, which is not urgent. */
    private static final int MAX_BALANCE_MOVES = 4;

    /** Factor by which the usual load of a target must exceed its fair load before it is moved. */
    private static final double BALANCE_EXCESS = 1.5;

    /**
     * Utilization that a warm target would have with more keys, above which keys are assigned to targets in cold start
     * instead. A cold target refuses most requests for its keys, a warm one only those beyond its capacity.
     */
    private static final double COLD_PLACEMENT_UTILIZATION = 1;

    /** Number of chunks per usable target into which the whole key space would be cut when unheld keys are assigned. */
    private static final int CHUNKS_PER_TARGET = 4;

    private final Map<String, Double> loadsPerSecond = new HashMap<>();
    private final Map<String, Integer> keyCounts = new HashMap<>();
    private final Map<String, HolderCandidate> candidates;
    private final NavigableMap<Integer, Double> ratesPerSecond;
    private final double timeConstantSeconds;
    /** Whether the usual load is divided, see {@link #planBalance}, as opposed to a momentary excess of load. */
    private final boolean balancing;

    private final double totalLoad;
    private final double meanCapacity;
    /** Targets from which this plan may still move load. */
    private final Set<String> offloadSources;

    private List<KeyMove> moves = new ArrayList<>();
    private KeyTable table;

    private KeyAssignmentPlanner(
            KeyTable table,
            List<HolderCandidate> targets,
            NavigableMap<Integer, Double> rates,
            double timeConstantSeconds,
            boolean balancing) {
        this.table = table;
        this.ratesPerSecond = rates;
        this.timeConstantSeconds = timeConstantSeconds;
        this.balancing = balancing;
        this.totalLoad =
                rates.values().stream().mapToDouble(Double::doubleValue).sum();
        this.meanCapacity = targets.stream()
                .mapToDouble(HolderCandidate::capacityPerSecond)
                .average()
                .orElse(1);
        this.candidates =
                targets.stream().collect(Collectors.toMap(HolderCandidate::incarnation, candidate -> candidate));
        this.offloadSources = targets.stream().map(HolderCandidate::incarnation).collect(Collectors.toSet());
        for (KeyAssignment range : table.assignments()) {
            addToTotals(range.holder(), range.from(), range.to(), 1);
        }
    }

    /**
     * Plans the next moves.
     *
     * @param table current holders
     * @param targets targets that may hold keys
     * @param rates requests per second by key
     * @return planned moves, to be carried out together; load is only moved as ranges that are not moving already
     */
    public static List<KeyMove> plan(
            KeyTable table, List<HolderCandidate> targets, NavigableMap<Integer, Double> rates) {
        if (targets.isEmpty()) {
            return List.of();
        }
        KeyAssignmentPlanner planner =
                new KeyAssignmentPlanner(table, targets, rates, KeyRequestRates.TIME_CONSTANT_SECONDS, false);
        planner.assignUnheldKeys();
        if (planner.moves.isEmpty()) {
            planner.offloadBusyTargets(MAX_OFFLOAD_MOVES);
            planner.moveLoadToNewTargets();
        }
        return planner.moves;
    }

    /**
     * Plans moves that divide the usual load over the targets by their capacity. In a large pool, the short-term load
     * of one target is a few requests, so that {@link #plan} can't tell an unsuitable share of the keys from chance; it
     * also accepts a slow target that is not busy, although others would answer sooner.
     *
     * @param table current holders, in which all keys have a usable holder
     * @param targets targets that may hold keys
     * @param rates requests per second by key, averaged over a longer time
     * @param timeConstantSeconds time constant of these averages
     * @return planned moves, to be carried out together
     */
    public static List<KeyMove> planBalance(
            KeyTable table,
            List<HolderCandidate> targets,
            NavigableMap<Integer, Double> rates,
            double timeConstantSeconds) {
        List<HolderCandidate> warm =
                targets.stream().filter(target -> !target.coldStarting()).toList();
        if (warm.isEmpty() || rates.isEmpty()) {
            return List.of();
        }
        // Targets count as busy from the stated excess over their fair load.
        List<HolderCandidate> scaled =
                FairLoads.asCapacities(warm, rates.values(), BALANCE_EXCESS / OFFLOAD_UTILIZATION);
        KeyAssignmentPlanner planner = new KeyAssignmentPlanner(table, scaled, rates, timeConstantSeconds, true);
        planner.offloadBusyTargets(MAX_BALANCE_MOVES);
        return planner.moves;
    }

    private void assignUnheldKeys() {
        List<KeyMove> unheldRanges = new ArrayList<>();
        int next = 0;
        for (KeyAssignment range : table.assignments()) {
            if (range.from() > next) {
                unheldRanges.add(new KeyMove(next, range.from() - 1, Optional.empty(), ""));
            }
            // A range that is moving to a lost target is planned again; the table still has its previous holders.
            if (!candidates.containsKey(range.holder())) {
                unheldRanges.add(new KeyMove(range.from(), range.to(), Optional.of(range.holder()), ""));
            }
            next = range.to() + 1;
        }
        if (next <= KeyTable.LAST_KEY) {
            unheldRanges.add(new KeyMove(next, KeyTable.LAST_KEY, Optional.empty(), ""));
        }
        int chunkSize = Math.max(1, (KeyTable.LAST_KEY + 1) / (CHUNKS_PER_TARGET * candidates.size()));
        for (KeyMove unheld : unheldRanges) {
            for (int from = unheld.from(); from <= unheld.to(); from += chunkSize) {
                assignChunk(from, Math.min(unheld.to(), from + chunkSize - 1), unheld.source());
            }
        }
        moves = KeyMove.merge(moves);
    }

    private void assignChunk(int from, int to, Optional<String> source) {
        source.ifPresent(holder -> addToTotals(holder, from, to, -1));
        double load = load(from, to);
        double keyFraction = (to - from + 1) / (double) (KeyTable.LAST_KEY + 1);
        Optional<HolderCandidate> warm = leastLoadedWith(load, keyFraction, false);
        HolderCandidate best = warm.filter(candidate ->
                        expectedUtilizationWith(candidate, load, keyFraction) <= COLD_PLACEMENT_UTILIZATION)
                .or(() -> leastLoadedWith(load, keyFraction, true)
                        .filter(candidate -> warm.isEmpty()
                                || expectedUtilizationWith(candidate, load, keyFraction) <= COLD_PLACEMENT_UTILIZATION))
                .or(() -> warm)
                .orElseThrow();
        addToTotals(best.incarnation(), from, to, 1);
        moves.add(new KeyMove(from, to, source, best.incarnation()));
    }

    private Optional<HolderCandidate> leastLoadedWith(double load, double keyFraction, boolean coldStarting) {
        return candidates.values().stream()
                .filter(candidate -> candidate.coldStarting() == coldStarting)
                .min(Comparator.<HolderCandidate>comparingDouble(
                                candidate -> relativeLoadWith(candidate, load, keyFraction))
                        .thenComparing(HolderCandidate::incarnation));
    }

    /** Returns the expected load relative to the capacity; each key is also expected to get its part of all load. */
    private double expectedUtilizationWith(HolderCandidate candidate, double load, double keyFraction) {
        double measured = loadsPerSecond.getOrDefault(candidate.incarnation(), 0.0) + load;
        return Math.max(measured, keyFractionWith(candidate, keyFraction) * totalLoad) / candidate.capacityPerSecond();
    }

    /**
     * Returns the load relative to the capacity, plus the keys that the target holds relative to its capacity. These
     * keys count as expected load, and decide between targets if no key has been requested yet.
     */
    private double relativeLoadWith(HolderCandidate candidate, double load, double keyFraction) {
        double measured = loadsPerSecond.getOrDefault(candidate.incarnation(), 0.0) + load;
        double expected = keyFractionWith(candidate, keyFraction) * (totalLoad + meanCapacity);
        return (measured + expected) / candidate.capacityPerSecond();
    }

    private double keyFractionWith(HolderCandidate candidate, double additional) {
        return keyCounts.getOrDefault(candidate.incarnation(), 0) / (double) (KeyTable.LAST_KEY + 1) + additional;
    }

    private void offloadBusyTargets(int maxMoves) {
        for (int round = 0; round < maxMoves; round++) {
            Optional<HolderCandidate> busiest = candidates.values().stream()
                    .filter(candidate -> offloadSources.contains(candidate.incarnation()))
                    .max(Comparator.comparingDouble(this::utilization));
            Optional<HolderCandidate> leastBusy = leastUtilized();
            if (busiest.isEmpty() || leastBusy.isEmpty() || utilization(busiest.get()) < OFFLOAD_UTILIZATION) {
                return;
            }
            if (!moveLoad(busiest.get(), leastBusy.get(), false)
                    && (balancing || !moveHotKeyToFasterTarget(busiest.get()))) {
                offloadSources.remove(busiest.get().incarnation());
            }
        }
    }

    /**
     * Moves the hottest key of a target to the one that can serve most of its requests. The load of a single key can't
     * be spread; the other keys of the new holder are moved off it afterwards as for any busy target.
     *
     * @return false if there is no such key, or no target that serves it clearly better
     */
    private boolean moveHotKeyToFasterTarget(HolderCandidate source) {
        Optional<Map.Entry<Integer, Double>> hottest = hottestKey(source);
        if (hottest.isEmpty() || hottest.get().getValue() < OFFLOAD_UTILIZATION * source.capacityPerSecond()) {
            return false;
        }
        int key = hottest.get().getKey();
        double rate = hottest.get().getValue();
        Optional<HolderCandidate> fastest = candidates.values().stream()
                .filter(candidate -> !candidate.coldStarting() && candidate != source)
                .min(Comparator.<HolderCandidate>comparingDouble(candidate -> utilizationWith(candidate, rate))
                        .thenComparing(HolderCandidate::incarnation));
        double aloneAtSource = rate / source.capacityPerSecond();
        if (fastest.isEmpty() || utilizationWith(fastest.get(), rate) > aloneAtSource * MAX_HOT_KEY_LOAD_RATIO) {
            return false;
        }
        recordMove(key, key, source, fastest.get());
        return true;
    }

    private double utilizationWith(HolderCandidate candidate, double additionalLoad) {
        return utilization(candidate) + additionalLoad / candidate.capacityPerSecond();
    }

    private void moveLoadToNewTargets() {
        for (HolderCandidate newTarget : candidates.values()) {
            if (newTarget.coldStarting() || keyCounts.getOrDefault(newTarget.incarnation(), 0) > 0) {
                continue;
            }
            candidates.values().stream()
                    .filter(candidate -> loadsPerSecond.getOrDefault(candidate.incarnation(), 0.0) > 0)
                    .max(Comparator.comparingDouble(this::utilization))
                    .ifPresent(busiest -> moveLoad(busiest, newTarget, true));
        }
    }

    private Optional<HolderCandidate> leastUtilized() {
        return candidates.values().stream()
                .filter(candidate -> !candidate.coldStarting())
                .min(Comparator.comparingDouble(this::utilization).thenComparing(HolderCandidate::incarnation));
    }

    private double utilization(HolderCandidate candidate) {
        return loadsPerSecond.getOrDefault(candidate.incarnation(), 0.0) / candidate.capacityPerSecond();
    }

    /**
     * Moves a range of keys whose load brings both targets towards the same utilization.
     *
     * @param force whether to move a range even if the gain is small or may be due to chance
     * @return false if the move is not worthwhile or no range of keys has a suitable load
     */
    private boolean moveLoad(HolderCandidate source, HolderCandidate destination, boolean force) {
        double sourceLoad = loadsPerSecond.getOrDefault(source.incarnation(), 0.0);
        double destinationLoad = loadsPerSecond.getOrDefault(destination.incarnation(), 0.0);
        double balancedUtilization =
                (sourceLoad + destinationLoad) / (source.capacityPerSecond() + destination.capacityPerSecond());
        double loadToMove = sourceLoad - balancedUtilization * source.capacityPerSecond();
        boolean worthwhile = balancedUtilization * source.capacityPerSecond() <= sourceLoad * MAX_REMAINING_LOAD_RATIO
                && loadToMove >= randomDeviation(source);
        if (!force && !worthwhile) {
            return false;
        }
        Optional<LoadedRange> range = rangesWithLoad(source.incarnation(), loadToMove / 2, loadToMove).stream()
                .min(Comparator.comparingInt(LoadedRange::length))
                .or(() -> heaviestRange(source, loadToMove));
        range.ifPresent(moved -> recordMove(moved.from(), moved.to(), source, destination));
        return range.isPresent();
    }

    /**
     * Finds the range with the most load to move off a target whose load is mostly that of one key. When the usual load
     * is divided, also off one whose ranges each have less than half of the load to move.
     */
    private Optional<LoadedRange> heaviestRange(HolderCandidate source, double loadToMove) {
        boolean hotKey = hottestKey(source)
                .filter(hottest -> hottest.getValue() > loadToMove)
                .isPresent();
        return hotKey || balancing
                ? rangesWithLoad(source.incarnation(), source.capacityPerSecond() * MIN_MOVED_UTILIZATION, loadToMove)
                        .stream()
                        .max(Comparator.comparingDouble(LoadedRange::load))
                : Optional.empty();
    }

    private Optional<Map.Entry<Integer, Double>> hottestKey(HolderCandidate holder) {
        return table.assignments().stream()
                .filter(range -> range.holder().equals(holder.incarnation()) && !range.isMoving())
                .flatMap(range -> ratesPerSecond.subMap(range.from(), true, range.to(), true).entrySet().stream())
                .max(Map.Entry.comparingByValue());
    }

    private void recordMove(int from, int to, HolderCandidate source, HolderCandidate destination) {
        addToTotals(source.incarnation(), from, to, -1);
        addToTotals(destination.incarnation(), from, to, 1);
        table = table.withAssignment(
                new KeyAssignment(from, to, destination.incarnation(), 0, List.of(source.incarnation())));
        moves.add(new KeyMove(from, to, Optional.of(source.incarnation()), destination.incarnation()));
    }

    /** Returns the excess load that may be due to chance, given that requests arrive independently of each other. */
    private double randomDeviation(HolderCandidate source) {
        double urgentDeviations = utilization(source) > CRITICAL_UTILIZATION ? 1 : NOISE_DEVIATIONS;
        return (balancing ? BALANCE_NOISE_DEVIATIONS : urgentDeviations)
                * Math.sqrt(loadsPerSecond.getOrDefault(source.incarnation(), 0.0) / timeConstantSeconds);
    }

    /** A range of keys with its requests per second. */
    private record LoadedRange(int from, int to, double load) {
        int length() {
            return to - from;
        }
    }

    /**
     * Returns, for each key of a holder, the longest range that ends with this key and has at most a load, if it also
     * has at least a load.
     */
    private List<LoadedRange> rangesWithLoad(String holder, double leastLoad, double mostLoad) {
        List<LoadedRange> found = new ArrayList<>();
        for (KeyAssignment range : table.assignments()) {
            if (!range.holder().equals(holder) || range.isMoving()) {
                continue;
            }
            List<Map.Entry<Integer, Double>> loaded = new ArrayList<>(
                    ratesPerSecond.subMap(range.from(), true, range.to(), true).entrySet());
            int start = 0;
            double sum = 0;
            for (Map.Entry<Integer, Double> entry : loaded) {
                sum += entry.getValue();
                while (sum > mostLoad && start < loaded.size() && sum > 0) {
                    sum -= loaded.get(start).getValue();
                    start++;
                }
                if (sum >= leastLoad && start < loaded.size()) {
                    found.add(new LoadedRange(loaded.get(start).getKey(), entry.getKey(), sum));
                }
            }
        }
        return found;
    }

    private void addToTotals(String holder, int from, int to, int sign) {
        loadsPerSecond.merge(holder, sign * load(from, to), Double::sum);
        keyCounts.merge(holder, sign * (to - from + 1), Integer::sum);
    }

    private double load(int from, int to) {
        return ratesPerSecond.subMap(from, true, to, true).values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }
}
