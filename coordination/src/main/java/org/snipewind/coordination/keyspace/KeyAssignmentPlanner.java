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
 * Plans which target is to hold which keys.
 *
 * <p>Keys without a usable holder come first. Then load is taken from targets that are close to their capacity, as the
 * fewest neighbouring keys that carry it, so that a hot run is spread while all other keys stay where they are. Last, a
 * target that joined gets a part of the load of the busiest one.
 */
public final class KeyAssignmentPlanner {

    /** Share of its capacity above which a target is relieved; queueing grows steeply beyond it. */
    private static final double RELIEF_UTILIZATION = 0.55;

    /** Above this share even an excess that may be chance is worth a move. */
    private static final double CRITICAL_UTILIZATION = 0.75;

    /** A move must at least bring the busier side down to this share of its load, or it isn't worth the pause. */
    private static final double WORTHWHILE_RATIO = 0.8;

    /** Standard deviations of a measured load that do not count as an excess. */
    private static final double NOISE_DEVIATIONS = 2;

    /** Most moves of one plan, so that the effect is seen before the next ones. */
    private static final int MAX_RELIEF_MOVES = 8;

    /** Pieces for each usable target into which keys without a holder are cut. */
    private static final int PIECES_PER_TARGET = 4;

    private final Map<String, Double> loads = new HashMap<>();
    private final Map<String, Integer> keys = new HashMap<>();
    private final Map<String, HolderCandidate> usable;
    private final NavigableMap<Integer, Double> rates;
    private final Set<String> settled;
    private final List<KeyMove> moves = new ArrayList<>();
    private KeyTable table;

    private KeyAssignmentPlanner(KeyTable table, List<HolderCandidate> targets, NavigableMap<Integer, Double> rates) {
        this.table = table;
        this.rates = rates;
        this.usable = targets.stream().collect(Collectors.toMap(HolderCandidate::incarnation, view -> view));
        this.settled = targets.stream().map(HolderCandidate::incarnation).collect(Collectors.toSet());
        for (KeyAssignment each : table.assignments()) {
            count(each.holder(), each.from(), each.to(), 1);
        }
    }

    /**
     * Plans the next moves.
     *
     * @param table present holders
     * @param targets targets that may hold keys
     * @param rates requests a second by key
     * @return moves of ranges that are not moving already, best carried out together
     */
    public static List<KeyMove> plan(
            KeyTable table, List<HolderCandidate> targets, NavigableMap<Integer, Double> rates) {
        if (targets.isEmpty()) {
            return List.of();
        }
        KeyAssignmentPlanner planner = new KeyAssignmentPlanner(table, targets, rates);
        planner.placeOrphans();
        if (planner.moves.isEmpty()) {
            planner.relieveBusy();
            planner.fillNewcomers();
        }
        return planner.moves;
    }

    private void placeOrphans() {
        List<KeyMove> orphans = new ArrayList<>();
        int next = 0;
        for (KeyAssignment each : table.assignments()) {
            if (each.from() > next) {
                orphans.add(new KeyMove(next, each.from() - 1, Optional.empty(), ""));
            }
            // A range in motion to a lost target is planned again; its previous holder is still known.
            if (!usable.containsKey(each.holder())) {
                orphans.add(new KeyMove(each.from(), each.to(), Optional.of(each.holder()), ""));
            }
            next = each.to() + 1;
        }
        if (next <= KeyTable.LAST_KEY) {
            orphans.add(new KeyMove(next, KeyTable.LAST_KEY, Optional.empty(), ""));
        }
        List<HolderCandidate> receivers = receivers();
        int piece = Math.max(1, (KeyTable.LAST_KEY + 1) / (PIECES_PER_TARGET * receivers.size()));
        for (KeyMove orphan : orphans) {
            for (int from = orphan.from(); from <= orphan.to(); from += piece) {
                int to = Math.min(orphan.to(), from + piece - 1);
                place(from, to, orphan.source(), receivers);
            }
        }
        joinNeighbours();
    }

    private List<HolderCandidate> receivers() {
        List<HolderCandidate> warm =
                usable.values().stream().filter(view -> !view.coldStarting()).toList();
        return warm.isEmpty() ? List.copyOf(usable.values()) : warm;
    }

    private void place(int from, int to, Optional<String> source, List<HolderCandidate> receivers) {
        HolderCandidate best = receivers.stream()
                .min(Comparator.comparingDouble(this::fullness).thenComparing(HolderCandidate::incarnation))
                .orElseThrow();
        source.ifPresent(holder -> count(holder, from, to, -1));
        count(best.incarnation(), from, to, 1);
        moves.add(new KeyMove(from, to, source, best.incarnation()));
    }

    /** Load and, as a tie-breaker for keys that nobody asked for yet, number of keys; each against the capacity. */
    private double fullness(HolderCandidate view) {
        double load = loads.getOrDefault(view.incarnation(), 0.0);
        double expected = keys.getOrDefault(view.incarnation(), 0) / (double) (KeyTable.LAST_KEY + 1);
        return (load + expected * totalLoad()) / view.capacityPerSecond() + expected;
    }

    private double totalLoad() {
        return loads.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private void joinNeighbours() {
        List<KeyMove> joined = new ArrayList<>();
        for (KeyMove move : moves) {
            int last = joined.size() - 1;
            if (last >= 0
                    && joined.get(last).to() + 1 == move.from()
                    && joined.get(last).destination().equals(move.destination())
                    && joined.get(last).source().equals(move.source())) {
                joined.set(last, new KeyMove(joined.get(last).from(), move.to(), move.source(), move.destination()));
            } else {
                joined.add(move);
            }
        }
        moves.clear();
        moves.addAll(joined);
    }

    private void relieveBusy() {
        for (int round = 0; round < MAX_RELIEF_MOVES; round++) {
            Optional<HolderCandidate> busiest = usable.values().stream()
                    .filter(view -> settled.contains(view.incarnation()))
                    .max(Comparator.comparingDouble(this::utilization));
            Optional<HolderCandidate> idlest = leastBusy();
            if (busiest.isEmpty() || idlest.isEmpty() || utilization(busiest.get()) < RELIEF_UTILIZATION) {
                return;
            }
            if (!moveLoad(busiest.get(), idlest.get(), false)) {
                settled.remove(busiest.get().incarnation());
            }
        }
    }

    private void fillNewcomers() {
        for (HolderCandidate newcomer : usable.values()) {
            if (newcomer.coldStarting() || keys.getOrDefault(newcomer.incarnation(), 0) > 0) {
                continue;
            }
            usable.values().stream()
                    .filter(view -> loads.getOrDefault(view.incarnation(), 0.0) > 0)
                    .max(Comparator.comparingDouble(this::utilization))
                    .ifPresent(busiest -> moveLoad(busiest, newcomer, true));
        }
    }

    private Optional<HolderCandidate> leastBusy() {
        return usable.values().stream()
                .filter(view -> !view.coldStarting())
                .min(Comparator.comparingDouble(this::utilization).thenComparing(HolderCandidate::incarnation));
    }

    private double utilization(HolderCandidate view) {
        return loads.getOrDefault(view.incarnation(), 0.0) / view.capacityPerSecond();
    }

    /** Moves the load that makes both sides equally busy; reports false if no run of keys fits. */
    private boolean moveLoad(HolderCandidate source, HolderCandidate destination, boolean always) {
        double sourceLoad = loads.getOrDefault(source.incarnation(), 0.0);
        double destinationLoad = loads.getOrDefault(destination.incarnation(), 0.0);
        double level = (sourceLoad + destinationLoad) / (source.capacityPerSecond() + destination.capacityPerSecond());
        double wanted = sourceLoad - level * source.capacityPerSecond();
        boolean worthwhile =
                level * source.capacityPerSecond() <= sourceLoad * WORTHWHILE_RATIO && wanted >= noise(source);
        if (!always && !worthwhile) {
            return false;
        }
        Optional<int[]> run = shortestRun(source.incarnation(), wanted);
        run.ifPresent(keysOfRun -> {
            count(source.incarnation(), keysOfRun[0], keysOfRun[1], -1);
            count(destination.incarnation(), keysOfRun[0], keysOfRun[1], 1);
            table = table.withAssignment(new KeyAssignment(
                    keysOfRun[0], keysOfRun[1], destination.incarnation(), 0, List.of(source.incarnation())));
            moves.add(new KeyMove(
                    keysOfRun[0], keysOfRun[1], Optional.of(source.incarnation()), destination.incarnation()));
        });
        return run.isPresent();
    }

    /** Gives the excess that a load shows by chance alone, as requests arrive independently of each other. */
    private double noise(HolderCandidate source) {
        double deviations = utilization(source) > CRITICAL_UTILIZATION ? 1 : NOISE_DEVIATIONS;
        return deviations * Math.sqrt(loads.getOrDefault(source.incarnation(), 0.0) / KeyRequestRates.MEMORY_SECONDS);
    }

    /** Finds the fewest neighbouring keys of a holder whose load lies between half of and the whole wanted load. */
    private Optional<int[]> shortestRun(String holder, double wanted) {
        int[] best = null;
        for (KeyAssignment range : table.assignments()) {
            if (!range.holder().equals(holder) || range.isMoving()) {
                continue;
            }
            List<Map.Entry<Integer, Double>> loaded = new ArrayList<>(
                    rates.subMap(range.from(), true, range.to(), true).entrySet());
            int start = 0;
            double sum = 0;
            for (Map.Entry<Integer, Double> entry : loaded) {
                sum += entry.getValue();
                while (sum > wanted && start < loaded.size() && sum > 0) {
                    sum -= loaded.get(start).getValue();
                    start++;
                }
                if (sum >= wanted / 2) {
                    int first = loaded.get(start).getKey();
                    if (best == null || entry.getKey() - first < best[1] - best[0]) {
                        best = new int[] {first, entry.getKey()};
                    }
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private void count(String holder, int from, int to, int sign) {
        double load = rates.subMap(from, true, to, true).values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        loads.merge(holder, sign * load, Double::sum);
        keys.merge(holder, sign * (to - from + 1), Integer::sum);
    }
}
