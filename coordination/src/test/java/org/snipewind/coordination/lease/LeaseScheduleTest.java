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

/** Simulates a lease holder and its witnesses with random delays, losses, pauses, clock rates and group changes. */
final class LeaseScheduleTest {

    private static final int SCHEDULES = 1_000;
    private static final int TICK_MILLIS = 50;

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::order));
    private long now;
    private long order;
    private Random random = new Random(0);
    private List<String> storedGroup = List.of();
    private Optional<List<String>> pendingGroup = Optional.empty();

    // Guards against a holder that still acts in a role after the fleet has assigned the role to another member.
    @Test
    void leaseIsNeverValidAfterAMajorityOfTheStoredGroupHasConfirmedItsExpiry() {
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
        pendingGroup = Optional.empty();
        storedGroup = randomGroup();
        ManualMillisClock holderClock = new ManualMillisClock(random.nextInt(100_000));
        MemberLease lease = new MemberLease(holderClock, 900);
        lease.setGroups(storedGroup, Optional.empty());
        Map<String, ManualMillisClock> witnessClocks = new HashMap<>();
        Map<String, LeaseWitness> witnesses = new HashMap<>();
        Map<String, Integer> witnessClockRates = new HashMap<>();
        for (int index = 0; index < 7; index++) {
            ManualMillisClock clock = new ManualMillisClock(random.nextInt(100_000));
            witnessClocks.put("w" + index, clock);
            witnessClockRates.put("w" + index, TICK_MILLIS - 1 + random.nextInt(3));
            witnesses.put("w" + index, new LeaseWitness(clock, 950));
            witnesses.get("w" + index).track("h");
        }
        int holderClockRate = TICK_MILLIS - 1 + random.nextInt(3);
        boolean mayChangeGroup = random.nextBoolean();
        List<LeaseExpiryConfirmations> collected = new ArrayList<>();
        long pausedUntil = 0;
        long partitionedUntil = 0;
        boolean removed = false;
        while (now < 12_000) {
            now += TICK_MILLIS;
            holderClock.advance(holderClockRate);
            witnessClocks.forEach((name, clock) -> clock.advance(witnessClockRates.get(name)));
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            pausedUntil = random.nextInt(60) == 0 ? now + random.nextInt(3_000) : pausedUntil;
            partitionedUntil = random.nextInt(100) == 0 ? now + random.nextInt(3_000) : partitionedUntil;
            if (now >= pausedUntil && now % 200 == 0) {
                long sequence = lease.nextHeartbeatSequence();
                // A partition separates the holder from the first three witnesses, a majority of one group only.
                boolean isPartitioned = now < partitionedUntil;
                witnesses.forEach((name, witness) -> deliver(() -> {
                    if (!(isPartitioned && name.compareTo("w3") < 0) && witness.acknowledge("h")) {
                        deliver(() -> lease.onAcknowledgement(name, sequence));
                    }
                }));
            }
            if (now >= pausedUntil && mayChangeGroup && !removed) {
                changeGroup(lease);
            }
            if (random.nextInt(4) == 0) {
                collected.add(new LeaseExpiryConfirmations("h", storedGroup));
            }
            for (LeaseExpiryConfirmations confirmations : collected) {
                String name = "w" + random.nextInt(7);
                if (witnesses.get(name).confirmExpired("h")) {
                    deliver(() -> confirmations.addConfirmation(name));
                }
                // Confirmations may be old: they count whenever the stored group is the one they were collected for.
                removed |= confirmations.hasMajority() && confirmations.group().equals(storedGroup);
            }
            if (removed) {
                assertWithMessage("seed %s at %s ms", seed, now)
                        .that(lease.isValid())
                        .isFalse();
            }
        }
        return removed;
    }

    private void changeGroup(MemberLease lease) {
        if (pendingGroup.isEmpty() && random.nextInt(20) == 0) {
            pendingGroup = Optional.of(randomGroup());
            lease.setGroups(storedGroup, pendingGroup);
        } else if (pendingGroup.isPresent() && random.nextInt(4) == 0) {
            // The store has applied the write some time before the holder learns the outcome.
            if (storedGroup.equals(pendingGroup.get())) {
                pendingGroup = Optional.empty();
                lease.setGroups(storedGroup, pendingGroup);
            } else {
                storedGroup = pendingGroup.get();
            }
        }
    }

    private List<String> randomGroup() {
        int first = random.nextInt(2) * 2;
        return List.of("w" + first, "w" + (first + 1), "w" + (first + 2), "w" + (first + 3), "w" + (first + 4));
    }
}
