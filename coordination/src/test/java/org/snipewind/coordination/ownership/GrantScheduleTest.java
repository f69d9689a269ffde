package org.snipewind.coordination.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Simulates supervisors, targets and the planner with random loss, delay, freezes, restarts and supervisor changes. */
final class GrantScheduleTest {

    private static final int SCHEDULES = 500;
    private static final int SLICE_COUNT = 6;
    private static final int TICK_MILLIS = 25;

    private record Message(long at, SimulatedTarget to, Runnable action) {}

    /** A target with its supervisor. */
    private static final class SimulatedTarget {
        private final String name;
        private final ManualMillisClock clock;
        private GrantValidator validator;
        private int incarnation;
        private long frozenUntil;
        private ManualMillisClock supervisorClock = new ManualMillisClock(0);
        private GrantTracker tracker;
        private long token = 1;
        private SliceTable knownTable = SliceTable.empty("p");
        private long releasedVersion;
        private boolean reportedLost;
        private long respondedAt;

        // A target that does not respond is lost; one that responds again is live once the table has been read again.
        boolean isLost(long now) {
            return tracker.hasExpired() && now - respondedAt > 500;
        }

        SimulatedTarget(String name, long start) {
            this.name = name;
            clock = new ManualMillisClock(start);
            validator = new GrantValidator(clock, name);
            tracker = new GrantTracker(supervisorClock, 1_000, 50);
        }
    }

    private Random random = new Random(0);
    private List<Message> messages = new ArrayList<>();
    private List<SimulatedTarget> targets = new ArrayList<>();
    private SliceTable table = SliceTable.empty("p");
    private long now;

    // Guards against two targets that serve the same key at the same time, which breaks exclusive ownership: two
    // callers could book the same seat.
    @Test
    void sliceIsNeverServableAtTwoTargets() {
        long served = 0;
        long moves = 0;
        for (long seed = 0; seed < SCHEDULES; seed++) {
            served += run(seed);
            moves += table.version();
        }
        assertThat(served).isAtLeast(SCHEDULES * 100L);
        assertThat(moves).isAtLeast(SCHEDULES * 5L);
    }

    // Guards against a new supervisor with an old table, which would grant slices again that its predecessor released.
    @Test
    void newSupervisorWithAnOldTableEndsTheGrantAndCanNotRenewIt() {
        GrantValidator validator = new GrantValidator(new ManualMillisClock(0), "i");
        assertThat(validator.applyGrant(1, 5, Set.of(1), validator.nowMillis() + 1_000))
                .isTrue();
        assertThat(validator.isServable(1, OptionalInt.of(1))).isTrue();
        assertThat(validator.applyGrant(2, 4, Set.of(1, 2), validator.nowMillis() + 1_000))
                .isFalse();
        assertThat(validator.isServable(1, OptionalInt.of(1))).isFalse();
        assertThat(validator.isServable(2, OptionalInt.of(1))).isFalse();
        assertThat(validator.applyGrant(1, 6, Set.of(1), validator.nowMillis() + 1_000))
                .isFalse();
    }

    private long run(long seed) {
        random = new Random(seed);
        messages = new ArrayList<>();
        targets = new ArrayList<>();
        table = new SliceTable("p", 0, "", Collections.nCopies(SLICE_COUNT, SliceOwnership.UNASSIGNED));
        for (String name : List.of("a", "b", "c")) {
            targets.add(new SimulatedTarget(name + seed, random.nextInt(1_000_000)));
        }
        long served = 0;
        for (now = 0; now < 15_000; now += TICK_MILLIS) {
            for (SimulatedTarget target : targets) {
                target.clock.advance(TICK_MILLIS);
                target.supervisorClock.advance(TICK_MILLIS);
                step(target);
            }
            List<Message> due = messages.stream()
                    .filter(message -> message.at <= now && message.to.frozenUntil <= now)
                    .toList();
            messages.removeAll(due);
            due.forEach(message -> message.action.run());
            if (random.nextInt(4) == 0) {
                plan();
            }
            for (int slice = 0; slice < SLICE_COUNT; slice++) {
                OptionalInt sliceNumber = OptionalInt.of(slice);
                // A frozen target counts too: it may have checked the request just before it was frozen.
                long owners = targets.stream()
                        .filter(target -> target.validator.isServable(target.validator.highestToken(), sliceNumber))
                        .count();
                assertWithMessage("seed %s, slice %s at %s ms", seed, slice, now)
                        .that(owners)
                        .isAtMost(1);
                served += owners;
            }
        }
        return served;
    }

    private void step(SimulatedTarget target) {
        int fault = random.nextInt(2_000);
        if (fault < 8) {
            target.frozenUntil = now + random.nextInt(4_000);
        } else if (fault < 12) {
            target.incarnation++;
            target.validator = new GrantValidator(target.clock, target.name + "-" + target.incarnation);
        } else if (fault < 18) {
            // A new supervisor reads the table after it has taken the role; it has its own clock.
            target.supervisorClock = new ManualMillisClock(random.nextInt(1_000_000));
            target.tracker = new GrantTracker(target.supervisorClock, 1_000, 50);
            target.token++;
            target.knownTable = table;
            target.reportedLost = false;
        }
        if (random.nextInt(10) == 0) {
            target.knownTable = table;
            target.reportedLost &= target.isLost(now);
        }
        if (random.nextInt(6) == 0) {
            sendGrantRequest(target);
        }
    }

    private void sendGrantRequest(SimulatedTarget target) {
        GrantTracker tracker = target.tracker;
        SliceTable knownTable = target.knownTable;
        long token = target.token;
        // While the target is reported lost, the request only reads the target's clock.
        long end = target.reportedLost ? 0 : tracker.beginGrantRequest();
        long sentAt = target.supervisorClock.nowMillis();
        // Slices that are moving away stay granted for a while, so that requests in progress can end.
        boolean keepsMovingSlices = random.nextInt(3) == 0 && knownTable.version() > target.releasedVersion;
        Set<Integer> slices =
                keepsMovingSlices ? servableOrReleasing(knownTable, target.name) : knownTable.servableBy(target.name);
        send(target, () -> {
            boolean accepted = target.validator.applyGrant(token, knownTable.version(), slices, end);
            long targetMillis = target.validator.nowMillis();
            String incarnation = target.validator.incarnation();
            send(target, () -> {
                target.respondedAt = now;
                tracker.onAcknowledgement(end, sentAt, targetMillis, incarnation, accepted);
                if (accepted && !keepsMovingSlices && token == target.token) {
                    target.releasedVersion = Math.max(target.releasedVersion, knownTable.version());
                }
            });
        });
    }

    private static Set<Integer> servableOrReleasing(SliceTable table, String target) {
        Set<Integer> slices = table.servableBy(target);
        for (int slice = 0; slice < SLICE_COUNT; slice++) {
            if (table.slices().get(slice).releasing().filter(target::equals).isPresent()) {
                slices.add(slice);
            }
        }
        return slices;
    }

    private void send(SimulatedTarget target, Runnable action) {
        if (random.nextInt(100) >= 10) {
            long delay = random.nextInt(10) == 0 ? random.nextInt(3_000) : random.nextInt(60);
            messages.add(new Message(now + delay, target, action));
        }
    }

    private void plan() {
        Map<String, TargetHealthReport> reports = new HashMap<>();
        for (SimulatedTarget target : targets) {
            TargetHealth health = TargetHealth.SUSPECTED;
            if (target.isLost(now)) {
                health = TargetHealth.LOST;
                target.reportedLost = true;
            } else if (target.tracker.isLive() || target.tracker.incarnation().isPresent()) {
                health = random.nextInt(50) == 0 ? TargetHealth.LEAVING : TargetHealth.LIVE;
            }
            reports.put(target.name, new TargetHealthReport(target.name, health, target.releasedVersion));
        }
        Map<Integer, Long> loads = new HashMap<>();
        for (int slice = 0; slice < SLICE_COUNT; slice++) {
            loads.put(slice, (long) random.nextInt(100));
        }
        table = SliceAssignmentPlanner.plan(table, reports, loads, new RebalanceLimits(1.2, 1), "w")
                .orElse(table);
    }
}
