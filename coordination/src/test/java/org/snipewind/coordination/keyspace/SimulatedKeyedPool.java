package org.snipewind.coordination.keyspace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import org.snipewind.coordination.clock.ManualMillisClock;

/** A keyed pool whose targets queue requests, and whose keys are planned as by a leader; moves take effect at once. */
final class SimulatedKeyedPool {

    private static final long PLAN_INTERVAL_MILLIS = 250;
    private static final long SLOW_MOMENT_MILLIS = 400;
    private static final double SLOW_TARGETS = 0.2;
    private static final double SLOWDOWN = 3;
    private static final double LATENCY_OBJECTIVE_MILLIS = 600;

    private record Response(double atMillis, int target, double occupiedMillis) {}

    private static final class Target {
        private final String incarnation;
        private final double speed;
        private final double[] slotFreeAtMillis;
        private double slowdown = 1;

        Target(String incarnation, double speed, int slots) {
            this.incarnation = incarnation;
            this.speed = speed;
            this.slotFreeAtMillis = new double[slots];
        }
    }

    private final ManualMillisClock clock = new ManualMillisClock(100_000);
    private final Random random;
    private final double serviceMillis;
    private final List<Target> targets = new ArrayList<>();
    private final KeyPlanner planner = new KeyPlanner(clock);
    private final PriorityQueue<Response> responses =
            new PriorityQueue<>(Comparator.comparingDouble(Response::atMillis));
    private KeyTable table = KeyTable.EMPTY;
    private int requests;
    private int late;
    private int movedKeys;
    private int[] requestsByTarget;

    SimulatedKeyedPool(long seed, double serviceMillis, int slots, double[] speeds) {
        this.random = new Random(seed);
        this.serviceMillis = serviceMillis;
        for (int index = 0; index < speeds.length; index++) {
            targets.add(new Target("t" + index + "@1", speeds[index], slots));
        }
        requestsByTarget = new int[speeds.length];
    }

    static double[] speedsBetween(double slowest, double fastest, int count) {
        return IntStream.range(0, count)
                // The order is mixed, since neighbouring targets get neighbouring keys.
                .mapToDouble(index -> slowest + (fastest - slowest) * (index * 23 % count) / (count - 1))
                .toArray();
    }

    void run(long millis, double requestsPerSecond, IntSupplier keys, boolean slowMoments) {
        requests = 0;
        late = 0;
        movedKeys = 0;
        requestsByTarget = new int[targets.size()];
        long endMillis = clock.nowMillis() + millis;
        while (clock.nowMillis() < endMillis) {
            long now = clock.nowMillis();
            if (now % SLOW_MOMENT_MILLIS == 0) {
                targets.forEach(
                        target -> target.slowdown = slowMoments && random.nextDouble() < SLOW_TARGETS ? SLOWDOWN : 1);
            }
            if (now % PLAN_INTERVAL_MILLIS == 0) {
                plan();
            }
            for (double wait = nextWait(requestsPerSecond); wait < 1; wait += nextWait(requestsPerSecond)) {
                request(keys.getAsInt(), now);
            }
            while (!responses.isEmpty() && responses.peek().atMillis() <= now) {
                Response response = responses.poll();
                String incarnation = targets.get(response.target()).incarnation;
                planner.recordServiceTime(incarnation, 1, response.occupiedMillis());
            }
            clock.advance(1);
        }
    }

    private double nextWait(double requestsPerSecond) {
        return -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
    }

    private void request(int key, long now) {
        planner.recordRequests(key, 1);
        String holder = table.find(key).orElseThrow().holder();
        int index = IntStream.range(0, targets.size())
                .filter(each -> targets.get(each).incarnation.equals(holder))
                .findFirst()
                .orElseThrow();
        Target target = targets.get(index);
        int slot = IntStream.range(0, target.slotFreeAtMillis.length)
                .boxed()
                .min(Comparator.comparingDouble(each -> target.slotFreeAtMillis[each]))
                .orElseThrow();
        double start = Math.max(now, target.slotFreeAtMillis[slot]);
        double occupied = serviceMillis / target.speed * target.slowdown * (0.5 + random.nextDouble());
        target.slotFreeAtMillis[slot] = start + occupied;
        responses.add(new Response(start + occupied, index, occupied));
        requests++;
        requestsByTarget[index]++;
        if (start + occupied - now > LATENCY_OBJECTIVE_MILLIS) {
            late++;
        }
    }

    private void plan() {
        List<PoolTarget> usable = targets.stream()
                .map(target -> new PoolTarget(target.incarnation, target.slotFreeAtMillis.length, false, 1))
                .toList();
        List<KeyMove> moves = planner.plan(table, usable, 0, true);
        for (KeyMove move : moves) {
            movedKeys += move.to() - move.from() + 1;
            table = table.withAssignment(new KeyAssignment(move.from(), move.to(), move.destination(), 1, List.of()));
        }
        table = table.compacted();
    }

    double lateFraction() {
        return late / (double) requests;
    }

    double movedKeyFraction() {
        return movedKeys / (double) (KeyTable.LAST_KEY + 1);
    }

    /** Returns the requests in the last run of targets below a speed, relative to an even share. */
    double shareOfTargetsBelow(double speed) {
        int[] slow = IntStream.range(0, targets.size())
                .filter(index -> targets.get(index).speed < speed)
                .toArray();
        double received =
                IntStream.of(slow).mapToDouble(index -> requestsByTarget[index]).sum();
        return received * targets.size() / slow.length / requests;
    }

    /** Returns the highest utilization of a target in the last run, without slow moments. */
    double highestUtilization(long runMillis) {
        return IntStream.range(0, targets.size())
                .mapToDouble(index -> requestsByTarget[index]
                        * serviceMillis
                        / targets.get(index).speed
                        / targets.get(index).slotFreeAtMillis.length
                        / runMillis)
                .max()
                .orElseThrow();
    }
}
