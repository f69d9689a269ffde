package org.snipewind.coordination.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A slice table under change, with the loads of its live targets. */
final class SliceDraft {

    private final long version;
    private final Map<String, TargetHealthReport> targets;
    private final Map<Integer, Long> loadBySlice;
    private final List<SliceOwnership> slices;
    private final Map<String, Tally> live = new TreeMap<>();
    // An idle slice counts as a mean one when slices are handed out, so that idle slices spread too.
    private final long meanSliceLoad;

    /** Slices and load of one target. */
    private static final class Tally {
        private final String target;
        private int count;
        private long load;

        Tally(String target) {
            this.target = target;
        }
    }

    SliceDraft(SliceTable table, Map<String, TargetHealthReport> targets, Map<Integer, Long> loadBySlice) {
        version = table.version();
        this.targets = targets;
        this.loadBySlice = loadBySlice;
        slices = new ArrayList<>(table.slices());
        meanSliceLoad =
                1 + loadBySlice.values().stream().mapToLong(Long::longValue).sum() / Math.max(1, slices.size());
        targets.forEach((name, view) -> {
            if (view.health() == TargetHealth.LIVE) {
                live.put(name, new Tally(name));
            }
        });
        for (int slice = 0; slice < slices.size(); slice++) {
            Tally tally = slices.get(slice).owner().map(live::get).orElse(null);
            if (tally != null) {
                tally.count++;
                tally.load += load(slice);
            }
        }
    }

    List<SliceOwnership> slices() {
        return slices;
    }

    boolean hasLiveTargets() {
        return !live.isEmpty();
    }

    /** Ends the releases of targets that are lost or have released everything up to this version. */
    void clearReleases() {
        slices.replaceAll(ownership -> ownership.releasing().isPresent()
                        && hasReleased(ownership.releasing().get())
                ? new SliceOwnership(ownership.owner(), Optional.empty())
                : ownership);
    }

    /** Moves slices without an owner that can keep them to the least loaded live targets. */
    boolean reassign() {
        List<Integer> displaced = new ArrayList<>();
        for (int slice = 0; slice < slices.size(); slice++) {
            if (slices.get(slice).owner().filter(this::keepsSlices).isEmpty()) {
                displaced.add(slice);
            }
        }
        displaced.sort(Comparator.comparing((Integer slice) -> -load(slice)).thenComparing(Comparator.naturalOrder()));
        for (int slice : displaced) {
            live.values().stream()
                    .min(Comparator.comparing((Tally tally) -> tally.load + tally.count * meanSliceLoad))
                    .ifPresent(tally -> move(slice, tally));
        }
        return !displaced.isEmpty();
    }

    /** Fills live targets that have far too few slices, such as new or returned ones, up to about the mean. */
    boolean fill() {
        double meanCount =
                live.values().stream().mapToInt(tally -> tally.count).average().orElse(0);
        double meanLoad = meanLoad();
        boolean filled = false;
        for (Tally tally : live.values()) {
            // A target with few slices but much load holds hot ones: filling it would undo what balancing did.
            if (tally.count >= meanCount / 2 || tally.load > meanLoad / 2) {
                continue;
            }
            while (tally.count + 1 <= meanCount && (meanLoad == 0 || tally.load < meanLoad)) {
                Optional<Integer> slice = live.values().stream()
                        .filter(donor -> donor.count > meanCount)
                        .max(Comparator.comparing((Tally donor) -> donor.count))
                        .flatMap(this::anySlice);
                if (slice.isEmpty()) {
                    break;
                }
                move(slice.get(), tally);
                filled = true;
            }
        }
        return filled;
    }

    /** Moves slices from the most to the least loaded target while the imbalance exceeds the limit. */
    void balance(RebalanceLimits limits) {
        for (int moves = 0; moves < limits.maxMoves(); moves++) {
            Tally most = live.values().stream()
                    .max(Comparator.comparing((Tally tally) -> tally.load))
                    .orElseThrow();
            Tally least = live.values().stream()
                    .min(Comparator.comparing((Tally tally) -> tally.load))
                    .orElseThrow();
            if (most.load <= limits.imbalanceThreshold() * meanLoad()) {
                return;
            }
            long gap = most.load - least.load;
            // A slice of half the gap evens the two out; one of the whole gap or more would only swap their places.
            Optional<Integer> best = settledSlices(most).stream()
                    .filter(slice -> load(slice) > 0 && load(slice) < gap)
                    .min(Comparator.comparing((Integer slice) -> Math.abs(2 * load(slice) - gap)));
            if (best.isEmpty()) {
                return;
            }
            move(best.get(), least);
        }
    }

    private void move(int slice, Tally to) {
        SliceOwnership present = slices.get(slice);
        Tally from = present.owner().map(live::get).orElse(null);
        if (from != null) {
            from.count--;
            from.load -= load(slice);
        }
        to.count++;
        to.load += load(slice);
        // The owner of a slice under move was never granted it, so only the original holder has to release it.
        Optional<String> releasing =
                present.releasing().or(() -> present.owner().filter(owner -> !isLost(owner)));
        slices.set(
                slice,
                new SliceOwnership(Optional.of(to.target), releasing.filter(holder -> !holder.equals(to.target))));
    }

    private Optional<Integer> anySlice(Tally owner) {
        return settledSlices(owner).stream()
                .min(Comparator.comparing((Integer slice) -> KeyHasher.hash("slice:" + slice)));
    }

    private List<Integer> settledSlices(Tally owner) {
        List<Integer> settled = new ArrayList<>();
        for (int slice = 0; slice < slices.size(); slice++) {
            if (slices.get(slice).isServableBy(owner.target)) {
                settled.add(slice);
            }
        }
        return settled;
    }

    private double meanLoad() {
        return live.values().stream().mapToLong(tally -> tally.load).average().orElse(0);
    }

    private boolean keepsSlices(String target) {
        TargetHealthReport view = targets.get(target);
        return view != null && (view.health() == TargetHealth.LIVE || view.health() == TargetHealth.SUSPECTED);
    }

    private boolean isLost(String target) {
        TargetHealthReport view = targets.get(target);
        return view != null && view.health() == TargetHealth.LOST;
    }

    private boolean hasReleased(String target) {
        TargetHealthReport view = targets.get(target);
        return view != null && (view.health() == TargetHealth.LOST || view.releasedVersion() >= version);
    }

    private long load(int slice) {
        return loadBySlice.getOrDefault(slice, 0L);
    }
}
