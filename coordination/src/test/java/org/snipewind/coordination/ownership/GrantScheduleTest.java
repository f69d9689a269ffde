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

/** Runs supervisors, targets and the planner through random loss, delay, freezes, restarts and new supervisors. */
final class GrantScheduleTest {

    private static final int SCHEDULES = 500;
    private static final int SLICES = 6;
    private static final int TICK = 25;

    private record Message(long at, Target to, Runnable action) {}

    /** A target with its supervisor. */
    private static final class Target {
        private final String name;
        private final ManualMillisClock clock;
        private GrantValidator register;
        private int incarnation;
        private long frozenUntil;
        private ManualMillisClock supervisorClock = new ManualMillisClock(0);
        private GrantTracker grant;
        private long token = 1;
        private SliceTable known = SliceTable.empty("p");
        private long released;
        private boolean reportedLost;
        private long answeredAt;

        // Without an answer the target is lost; one that answers again is live as soon as the table is read anew.
        boolean isLost(long now) {
            return grant.hasExpired() && now - answeredAt > 500;
        }

        Target(String name, long start) {
            this.name = name;
            clock = new ManualMillisClock(start);
            register = new GrantValidator(clock, name);
            grant = new GrantTracker(supervisorClock, 1_000, 50);
        }
    }

    private Random random = new Random(0);
    private List<Message> messages = new ArrayList<>();
    private List<Target> targets = new ArrayList<>();
    private SliceTable table = SliceTable.empty("p");
    private long now;

    // Guards against two owners of one key at any moment, the loss of exclusiveness that books a seat twice.
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

    // Guards against a new supervisor with an old table, which would take back slices that its predecessor released.
    @Test
    void newSupervisorWithOldTableEndsTheGrantAndGetsNone() {
        GrantValidator register = new GrantValidator(new ManualMillisClock(0), "i");
        assertThat(register.applyGrant(1, 5, Set.of(1), register.nowMillis() + 1_000))
                .isTrue();
        assertThat(register.isServable(1, OptionalInt.of(1))).isTrue();
        assertThat(register.applyGrant(2, 4, Set.of(1, 2), register.nowMillis() + 1_000))
                .isFalse();
        assertThat(register.isServable(1, OptionalInt.of(1))).isFalse();
        assertThat(register.isServable(2, OptionalInt.of(1))).isFalse();
        assertThat(register.applyGrant(1, 6, Set.of(1), register.nowMillis() + 1_000))
                .isFalse();
    }

    private long run(long seed) {
        random = new Random(seed);
        messages = new ArrayList<>();
        targets = new ArrayList<>();
        table = new SliceTable("p", 0, "", Collections.nCopies(SLICES, SliceOwnership.UNASSIGNED));
        for (String name : List.of("a", "b", "c")) {
            targets.add(new Target(name + seed, random.nextInt(1_000_000)));
        }
        long served = 0;
        for (now = 0; now < 15_000; now += TICK) {
            for (Target target : targets) {
                target.clock.advance(TICK);
                target.supervisorClock.advance(TICK);
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
            for (int slice = 0; slice < SLICES; slice++) {
                OptionalInt number = OptionalInt.of(slice);
                // A frozen target counts too: its check may have passed just before the freeze.
                long holders = targets.stream()
                        .filter(target -> target.register.isServable(target.register.highestToken(), number))
                        .count();
                assertWithMessage("seed %s, slice %s at %s ms", seed, slice, now)
                        .that(holders)
                        .isAtMost(1);
                served += holders;
            }
        }
        return served;
    }

    private void step(Target target) {
        int fault = random.nextInt(2_000);
        if (fault < 8) {
            target.frozenUntil = now + random.nextInt(4_000);
        } else if (fault < 12) {
            target.incarnation++;
            target.register = new GrantValidator(target.clock, target.name + "-" + target.incarnation);
        } else if (fault < 18) {
            // A new supervisor reads the table after it got the role; its clock is another one.
            target.supervisorClock = new ManualMillisClock(random.nextInt(1_000_000));
            target.grant = new GrantTracker(target.supervisorClock, 1_000, 50);
            target.token++;
            target.known = table;
            target.reportedLost = false;
        }
        if (random.nextInt(10) == 0) {
            target.known = table;
            target.reportedLost &= target.isLost(now);
        }
        if (random.nextInt(6) == 0) {
            order(target);
        }
    }

    private void order(Target target) {
        GrantTracker grant = target.grant;
        SliceTable known = target.known;
        long token = target.token;
        // While a loss is reported the order only asks for the target's clock.
        long end = target.reportedLost ? 0 : grant.beginGrantRequest();
        long sentAt = target.supervisorClock.nowMillis();
        // Slices under move stay granted for a while, as work in flight has to end.
        boolean drains = random.nextInt(3) == 0 && known.version() > target.released;
        Set<Integer> slices = drains ? held(known, target.name) : known.servableBy(target.name);
        send(target, () -> {
            boolean accepted = target.register.applyGrant(token, known.version(), slices, end);
            long reading = target.register.nowMillis();
            String incarnation = target.register.incarnation();
            send(target, () -> {
                target.answeredAt = now;
                grant.onAcknowledgement(end, sentAt, reading, incarnation, accepted);
                if (accepted && !drains && token == target.token) {
                    target.released = Math.max(target.released, known.version());
                }
            });
        });
    }

    private static Set<Integer> held(SliceTable table, String target) {
        Set<Integer> held = table.servableBy(target);
        for (int slice = 0; slice < SLICES; slice++) {
            if (table.slices().get(slice).releasing().filter(target::equals).isPresent()) {
                held.add(slice);
            }
        }
        return held;
    }

    private void send(Target target, Runnable action) {
        if (random.nextInt(100) >= 10) {
            long delay = random.nextInt(10) == 0 ? random.nextInt(3_000) : random.nextInt(60);
            messages.add(new Message(now + delay, target, action));
        }
    }

    private void plan() {
        Map<String, TargetHealthReport> views = new HashMap<>();
        for (Target target : targets) {
            TargetHealth standing = TargetHealth.SUSPECTED;
            if (target.isLost(now)) {
                standing = TargetHealth.LOST;
                target.reportedLost = true;
            } else if (target.grant.isLive() || target.grant.incarnation().isPresent()) {
                standing = random.nextInt(50) == 0 ? TargetHealth.LEAVING : TargetHealth.LIVE;
            }
            views.put(target.name, new TargetHealthReport(target.name, standing, target.released));
        }
        Map<Integer, Long> loads = new HashMap<>();
        for (int slice = 0; slice < SLICES; slice++) {
            loads.put(slice, (long) random.nextInt(100));
        }
        table = SliceAssignmentPlanner.plan(table, views, loads, new RebalanceLimits(1.2, 1), "w")
                .orElse(table);
    }
}
