package org.snipewind.coordination.hedging;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import org.snipewind.coordination.target.LoadReport;

/**
 * A pool of targets with slots and queues, and instances that know nothing of the targets but the reports of their own
 * responses. They send to random targets and take each target for a free one.
 */
final class SimulatedPool {

    static final int TARGETS = 20;
    static final int SLOTS = 2;
    static final int INSTANCES = 20;
    static final double SERVICE_MILLIS = 90;
    static final long OBJECTIVE_MILLIS = 633;
    static final long DEADLINE_MILLIS = 1_582;

    /** Slowdown of a target at a time. */
    @FunctionalInterface
    interface Slowdown {
        double factor(int target, long nowMillis);
    }

    private record Event(long atMillis, long order, Runnable action) {}

    private final SplittableRandom random;
    private final LongToDoubleFunction requestsPerSecond;
    private final Slowdown slowdown;
    private final List<Target> targets = new ArrayList<>();
    private final List<SecondAttemptPolicy> policies = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<Long> responseTimes = new ArrayList<>();
    final List<Long> secondAttemptTimes = new ArrayList<>();
    private long now;
    private long order;
    int requests;

    SimulatedPool(long seed, double share, LongToDoubleFunction requestsPerSecond, Slowdown slowdown) {
        this.random = new SplittableRandom(seed);
        this.requestsPerSecond = requestsPerSecond;
        this.slowdown = slowdown;
        for (int index = 0; index < TARGETS; index++) {
            targets.add(new Target(index));
        }
        for (int index = 0; index < INSTANCES; index++) {
            policies.add(new SecondAttemptPolicy(share));
        }
    }

    SimulatedPool run(long durationMillis) {
        at(0, () -> arrive(durationMillis));
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
        Collections.sort(responseTimes);
        return this;
    }

    long quantileMillis(double quantile) {
        return responseTimes.get((int) Math.ceil(quantile * responseTimes.size()) - 1);
    }

    long secondAttemptsBetween(long fromMillis, long toMillis) {
        return secondAttemptTimes.stream()
                .filter(at -> at >= fromMillis && at < toMillis)
                .count();
    }

    private void at(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, order++, action));
    }

    private void arrive(long endMillis) {
        if (now < endMillis) {
            requests++;
            new Request(policies.get(random.nextInt(INSTANCES))).start();
            double gapMillis = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond.applyAsDouble(now);
            at(Math.round(gapMillis), () -> arrive(endMillis));
        }
    }

    private final class Request {
        private final SecondAttemptPolicy policy;
        private final long startMillis = now;
        private final List<Job> jobs = new ArrayList<>();
        private boolean due;
        private boolean done;

        Request(SecondAttemptPolicy policy) {
            this.policy = policy;
        }

        void start() {
            policy.recordFirstAttempt();
            at(policy.delayMillis("route", OBJECTIVE_MILLIS, SERVICE_MILLIS, now), this::onDue);
            send();
        }

        private void send() {
            Job job = new Job(this, targets.get(random.nextInt(TARGETS)));
            jobs.add(job);
            job.target.add(job);
        }

        private void onDue() {
            if (done) {
                return;
            }
            due = true;
            policy.recordOverdue(true, now);
            long leftMillis = startMillis + DEADLINE_MILLIS - now;
            if (policy.acquire(OptionalDouble.of(SERVICE_MILLIS), leftMillis, now, () -> true)
                    .isEmpty()) {
                secondAttemptTimes.add(now);
                send();
            }
        }

        void finish(Job winner, LoadReport report) {
            done = true;
            responseTimes.add(now - startMillis);
            policy.recordReport(report, now);
            policy.recordResponseTime("route", now - startMillis, now);
            if (!due) {
                policy.recordOverdue(false, now);
            }
            jobs.stream().filter(job -> job != winner).forEach(job -> job.target.cancel(job));
        }
    }

    private record Job(Request request, Target target) {}

    private final class Target {
        private final int index;
        private final List<Job> running = new ArrayList<>();
        private final Deque<Job> waiting = new ArrayDeque<>();

        Target(int index) {
            this.index = index;
        }

        void add(Job job) {
            waiting.addLast(job);
            startNext();
        }

        void cancel(Job job) {
            waiting.remove(job);
            running.remove(job);
            startNext();
        }

        private void startNext() {
            while (running.size() < SLOTS && !waiting.isEmpty()) {
                Job job = waiting.removeFirst();
                running.add(job);
                double workMillis = SERVICE_MILLIS * (0.5 + random.nextDouble()) * slowdown.factor(index, now);
                at(Math.round(workMillis), () -> complete(job));
            }
        }

        private void complete(Job job) {
            if (running.remove(job)) {
                startNext();
                job.request.finish(
                        job, new LoadReport(running.size(), waiting.size(), SLOTS, slowdown.factor(index, now)));
            }
        }
    }
}
