package org.snipewind.coordination.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

/** Runs a holder and its witnesses through random delays, losses, pauses, clock rates and changes of group. */
final class LeaseScheduleTest {

    private static final int SCHEDULES = 1_000;
    private static final int TICK = 50;

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
    private long now;
    private long order;
    private Random random = new Random(0);
    private List<String> stored = List.of();
    private Optional<List<String>> pending = Optional.empty();

    // Guards against a holder that acts in a role after the fleet has given the role to another member.
    @Test
    void leaseIsNeverValidAfterSufficientEvidenceForTheStoredGroup() {
        int removals = 0;
        for (long seed = 0; seed < SCHEDULES; seed++) {
            removals += run(seed) ? 1 : 0;
        }
        assertThat(removals).isAtLeast(SCHEDULES / 4);
        assertThat(removals).isLessThan(SCHEDULES);
    }

    private void deliver(Runnable action) {
        if (random.nextInt(100) >= 20) {
            long delay = random.nextInt(10) == 0 ? random.nextInt(4_000) : random.nextInt(100);
            events.add(new Event(now + delay, order++, action));
        }
    }

    private boolean run(long seed) {
        random = new Random(seed);
        events.clear();
        now = 0;
        pending = Optional.empty();
        stored = group();
        ManualMillisClock holderClock = new ManualMillisClock(random.nextInt(100_000));
        MemberLease lease = new MemberLease(holderClock, 900);
        lease.setGroups(stored, Optional.empty());
        Map<String, ManualMillisClock> clocks = new HashMap<>();
        Map<String, LeaseWitness> witnesses = new HashMap<>();
        Map<String, Integer> rates = new HashMap<>();
        for (int number = 0; number < 7; number++) {
            ManualMillisClock clock = new ManualMillisClock(random.nextInt(100_000));
            clocks.put("w" + number, clock);
            rates.put("w" + number, TICK - 1 + random.nextInt(3));
            witnesses.put("w" + number, new LeaseWitness(clock, 950));
            witnesses.get("w" + number).track("h");
        }
        int holderRate = TICK - 1 + random.nextInt(3);
        boolean mayRegroup = random.nextBoolean();
        List<LeaseExpiryConfirmations> evidence = new ArrayList<>();
        long pausedUntil = 0;
        long cutUntil = 0;
        boolean removed = false;
        while (now < 12_000) {
            now += TICK;
            holderClock.advance(holderRate);
            clocks.forEach((name, clock) -> clock.advance(rates.get(name)));
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            pausedUntil = random.nextInt(60) == 0 ? now + random.nextInt(3_000) : pausedUntil;
            cutUntil = random.nextInt(100) == 0 ? now + random.nextInt(3_000) : cutUntil;
            if (now >= pausedUntil && now % 200 == 0) {
                long sequence = lease.nextHeartbeatSequence();
                // Each cut separates the holder from the first three witnesses, a majority of one group only.
                boolean isCut = now < cutUntil;
                witnesses.forEach((name, witness) -> deliver(() -> {
                    if (!(isCut && name.compareTo("w3") < 0) && witness.acknowledge("h")) {
                        deliver(() -> lease.onAcknowledgement(name, sequence));
                    }
                }));
            }
            if (now >= pausedUntil && mayRegroup && !removed) {
                regroup(lease);
            }
            if (random.nextInt(4) == 0) {
                evidence.add(new LeaseExpiryConfirmations("h", stored));
            }
            for (LeaseExpiryConfirmations each : evidence) {
                String name = "w" + random.nextInt(7);
                if (witnesses.get(name).confirmExpired("h")) {
                    deliver(() -> each.addConfirmation(name));
                }
                // Evidence may be old: it counts whenever the stored group is the one that it was collected for.
                removed |= each.hasMajority() && each.group().equals(stored);
            }
            if (removed) {
                assertWithMessage("seed %s at %s ms", seed, now)
                        .that(lease.isValid())
                        .isFalse();
            }
        }
        return removed;
    }

    private void regroup(MemberLease lease) {
        if (pending.isEmpty() && random.nextInt(20) == 0) {
            pending = Optional.of(group());
            lease.setGroups(stored, pending);
        } else if (pending.isPresent() && random.nextInt(4) == 0) {
            // The store has applied the write some time before the holder learns the outcome.
            if (stored.equals(pending.get())) {
                pending = Optional.empty();
                lease.setGroups(stored, pending);
            } else {
                stored = pending.get();
            }
        }
    }

    private List<String> group() {
        int first = random.nextInt(2) * 2;
        return List.of("w" + first, "w" + (first + 1), "w" + (first + 2), "w" + (first + 3), "w" + (first + 4));
    }
}
