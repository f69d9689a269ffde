package org.snipewind.coordination.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A mutable copy of a slice table in which the next table is prepared, with the loads of the live targets. */
final class SliceTableDraft {

    private final long tableVersion;
    private final Map<String, TargetHealthReport> targets;
    private final Map<Integer, Long> loadBySlice;
    private final List<SliceOwnership> slices;
    private final Map<String, TargetLoad> liveTargets = new TreeMap<>();
    // Added for each slice that a target has when displaced slices are reassigned, so that idle slices are spread too.
    private final long meanSliceLoad;

    /** Number of slices and total load of one target. */
    private static final class TargetLoad {
        private final String target;
        private int sliceCount;
        private long load;

        TargetLoad(String target) {
            this.target = target;
        }
    }

    SliceTableDraft(SliceTable table, Map<String, TargetHealthReport> targets, Map<Integer, Long> loadBySlice) {
        tableVersion = table.version();
        this.targets = targets;
        this.loadBySlice = loadBySlice;
        slices = new ArrayList<>(table.slices());
        meanSliceLoad =
                1 + loadBySlice.values().stream().mapToLong(Long::longValue).sum() / Math.max(1, slices.size());
        targets.forEach((name, report) -> {
            if (report.health() == TargetHealth.LIVE) {
                liveTargets.put(name, new TargetLoad(name));
            }
        });
        for (int slice = 0; slice < slices.size(); slice++) {
            TargetLoad targetLoad =
                    slices.get(slice).owner().map(liveTargets::get).orElse(null);
            if (targetLoad != null) {
                targetLoad.sliceCount++;
                targetLoad.load += load(slice);
            }
        }
    }

    List<SliceOwnership> slices() {
        return slices;
    }

    boolean hasLiveTargets() {
        return !liveTargets.isEmpty();
    }

    /** Clears the releases that are complete: their target is lost, or has released its slices up to this version. */
    void clearCompletedReleases() {
        slices.replaceAll(ownership -> ownership.releasing().isPresent()
                        && hasReleased(ownership.releasing().get())
                ? new SliceOwnership(ownership.owner(), Optional.empty())
                : ownership);
    }

    /** Moves slices that have no owner, or one that cannot keep them, to the least loaded live targets. */
    boolean reassignDisplacedSlices() {
        List<Integer> displaced = new ArrayList<>();
        for (int slice = 0; slice < slices.size(); slice++) {
            if (slices.get(slice).owner().filter(this::canKeepSlices).isEmpty()) {
                displaced.add(slice);
            }
        }
        displaced.sort(Comparator.comparing((Integer slice) -> -load(slice)).thenComparing(Comparator.naturalOrder()));
        for (int slice : displaced) {
            liveTargets.values().stream()
                    .min(Comparator.comparing(
                            (TargetLoad targetLoad) -> targetLoad.load + targetLoad.sliceCount * meanSliceLoad))
                    .ifPresent(targetLoad -> move(slice, targetLoad));
        }
        return !displaced.isEmpty();
    }

    /**
     * Moves slices to live targets that have less than half the mean number, such as new or returned ones, until they
     * have about the mean.
     */
    boolean fillUnderusedTargets() {
        double meanCount = liveTargets.values().stream()
                .mapToInt(targetLoad -> targetLoad.sliceCount)
                .average()
                .orElse(0);
        double meanLoad = meanLoad();
        boolean filled = false;
        for (TargetLoad targetLoad : liveTargets.values()) {
            // A target with few but hot slices is left as it is: more slices would undo the balancing of load.
            if (targetLoad.sliceCount >= meanCount / 2 || targetLoad.load > meanLoad / 2) {
                continue;
            }
            while (targetLoad.sliceCount + 1 <= meanCount && (meanLoad == 0 || targetLoad.load < meanLoad)) {
                Optional<Integer> slice = liveTargets.values().stream()
                        .filter(donor -> donor.sliceCount > meanCount)
                        .max(Comparator.comparing((TargetLoad donor) -> donor.sliceCount))
                        .flatMap(this::firstSliceByHash);
                if (slice.isEmpty()) {
                    break;
                }
                move(slice.get(), targetLoad);
                filled = true;
            }
        }
        return filled;
    }

    /** Moves slices from the most to the least loaded target while the imbalance exceeds the limit. */
    void balanceLoad(RebalanceLimits limits) {
        for (int moves = 0; moves < limits.maxMoves(); moves++) {
            TargetLoad mostLoaded = liveTargets.values().stream()
                    .max(Comparator.comparing((TargetLoad targetLoad) -> targetLoad.load))
                    .orElseThrow();
            TargetLoad leastLoaded = liveTargets.values().stream()
                    .min(Comparator.comparing((TargetLoad targetLoad) -> targetLoad.load))
                    .orElseThrow();
            if (mostLoaded.load <= limits.imbalanceThreshold() * meanLoad()) {
                return;
            }
            long loadGap = mostLoaded.load - leastLoaded.load;
            // A slice with half of the gap as its load makes the two equal; one with the whole gap or more would only
            // swap their loads.
            Optional<Integer> best = servableSlices(mostLoaded).stream()
                    .filter(slice -> load(slice) > 0 && load(slice) < loadGap)
                    .min(Comparator.comparing((Integer slice) -> Math.abs(2 * load(slice) - loadGap)));
            if (best.isEmpty()) {
                return;
            }
            move(best.get(), leastLoaded);
        }
    }

    private void move(int slice, TargetLoad to) {
        SliceOwnership current = slices.get(slice);
        TargetLoad from = current.owner().map(liveTargets::get).orElse(null);
        if (from != null) {
            from.sliceCount--;
            from.load -= load(slice);
        }
        to.sliceCount++;
        to.load += load(slice);
        // While a release is pending, the current owner has not been granted the slice, so only the original owner has
        // to release it.
        Optional<String> releasing =
                current.releasing().or(() -> current.owner().filter(owner -> !isLost(owner)));
        slices.set(
                slice,
                new SliceOwnership(Optional.of(to.target), releasing.filter(holder -> !holder.equals(to.target))));
    }

    /** Returns the owner's servable slice with the lowest hash, a deterministic choice that favours no slice number. */
    private Optional<Integer> firstSliceByHash(TargetLoad owner) {
        return servableSlices(owner).stream()
                .min(Comparator.comparing((Integer slice) -> KeyHasher.hash("slice:" + slice)));
    }

    private List<Integer> servableSlices(TargetLoad owner) {
        List<Integer> servable = new ArrayList<>();
        for (int slice = 0; slice < slices.size(); slice++) {
            if (slices.get(slice).isServableBy(owner.target)) {
                servable.add(slice);
            }
        }
        return servable;
    }

    private double meanLoad() {
        return liveTargets.values().stream()
                .mapToLong(targetLoad -> targetLoad.load)
                .average()
                .orElse(0);
    }

    private boolean canKeepSlices(String target) {
        TargetHealthReport report = targets.get(target);
        return report != null && (report.health() == TargetHealth.LIVE || report.health() == TargetHealth.SUSPECTED);
    }

    private boolean isLost(String target) {
        TargetHealthReport report = targets.get(target);
        return report != null && report.health() == TargetHealth.LOST;
    }

    private boolean hasReleased(String target) {
        TargetHealthReport report = targets.get(target);
        return report != null && (report.health() == TargetHealth.LOST || report.releasedVersion() >= tableVersion);
    }

    private long load(int slice) {
        return loadBySlice.getOrDefault(slice, 0L);
    }
}
