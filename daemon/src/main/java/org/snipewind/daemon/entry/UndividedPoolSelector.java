package org.snipewind.daemon.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.clients.configuration.PoolSettings;
import org.snipewind.clients.configuration.TargetSettings;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.coordination.fleet.RoleNames;
import org.snipewind.coordination.selection.Candidate;
import org.snipewind.coordination.selection.TargetSelector;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.settings.DaemonSettings;
import org.snipewind.daemon.supervisor.SupervisorRegistry;
import org.snipewind.protocol.LoadAnswer;
import org.snipewind.protocol.LoadProbe;
import org.snipewind.protocol.PeerConnections;
import org.snipewind.router.metrics.ProcessMetrics;

/** Selects targets of undivided pools by the load that their supervisors reported in response to probes. */
final class UndividedPoolSelector {

    private static final int PROBES_PER_REQUEST = 2;
    private static final long PROBE_TIMEOUT_MILLIS = 200;
    // A target that serves a request within a few milliseconds may have another load after this time.
    private static final long MIN_PROBE_INTERVAL_MILLIS = 5;
    // A request waits for the fresh load of this many targets, since a stale load does not show a slowed target.
    private static final int MIN_FRESH_CANDIDATES = 4;
    private static final long FRESH_MILLIS = 20;
    // Several round trips between data centres; waiting longer for an unresponsive supervisor only delays the request.
    private static final long MAX_REFRESH_MILLIS = 5;
    private static final long UNKNOWN_LOAD_AGE_MILLIS = 60_000;
    // The network takes about one millisecond each way between data centres in the deployments that the router serves.
    private static final long CROSS_DATA_CENTRE_MICROS = 1_500;

    private final String memberId;
    private final DaemonSettings settings;
    private final MillisClock clock;
    private final RecordCache records;
    private final SupervisorRegistry supervisors;
    private final PeerConnections peers;
    private final ProcessMetrics metrics;
    private final Map<String, TargetLoad> loads = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<Void>> runningProbes = new ConcurrentHashMap<>();

    /** The newest load reported for a target, and the number of requests that this daemon has sent to it since. */
    private record TargetLoad(LoadAnswer load, long receivedAtMillis, AtomicInteger sentSince) {}

    UndividedPoolSelector(
            String memberId,
            DaemonSettings settings,
            MillisClock clock,
            RecordCache records,
            SupervisorRegistry supervisors,
            PeerConnections peers,
            ProcessMetrics metrics) {
        this.memberId = memberId;
        this.settings = settings;
        this.clock = clock;
        this.records = records;
        this.supervisors = supervisors;
        this.peers = peers;
        this.metrics = metrics;
    }

    /** Probes targets of a pool if the load of too few is fresh; completes with the responses or after the timeout. */
    CompletableFuture<Void> refreshLoads(FleetConfiguration configuration, String poolName) {
        if (!settings.policy().loadAwareChoice()) {
            return CompletableFuture.completedFuture(null);
        }
        List<Candidate> candidates = candidates(configuration, poolName);
        Collections.shuffle(candidates, ThreadLocalRandom.current());
        List<Candidate> stale = candidates.stream()
                .filter(candidate -> candidate.ageMillis() > FRESH_MILLIS)
                .toList();
        int missing = Math.min(MIN_FRESH_CANDIDATES, candidates.size()) - (candidates.size() - stale.size());
        if (candidates.size() < 2 || missing <= 0) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<?>[] probes = stale.stream()
                .limit(missing)
                .map(candidate -> probe(candidate.target()))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(probes).completeOnTimeout(null, MAX_REFRESH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Selects a target of an undivided pool and probes some of its targets for later requests. */
    Optional<Destination> choose(FleetConfiguration configuration, String poolName, Set<String> excluded) {
        List<Candidate> candidates = candidates(configuration, poolName);
        probe(candidates);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Optional<String> chosen = settings.policy().loadAwareChoice()
                ? TargetSelector.choose(candidates, excluded, random)
                : TargetSelector.chooseRandom(candidates, excluded, random);
        return chosen.flatMap(this::destination);
    }

    private List<Candidate> candidates(FleetConfiguration configuration, String poolName) {
        PoolSettings pool = configuration.pools().get(poolName);
        List<Candidate> candidates = new ArrayList<>();
        if (pool == null) {
            return candidates;
        }
        pool.targets().forEach((target, targetSettings) -> {
            if (configuration.isInService(targetSettings)
                    && records.fleet().holder(RoleNames.target(target)).isPresent()) {
                candidates.add(candidate(target, targetSettings, pool));
            }
        });
        return candidates;
    }

    private Optional<Destination> destination(String target) {
        TargetLoad known = loads.get(target);
        if (known != null) {
            known.sentSince().incrementAndGet();
        }
        return records.fleet()
                .holder(RoleNames.target(target))
                .map(member -> new Destination(target, member, OptionalInt.empty(), 0));
    }

    private Candidate candidate(String target, TargetSettings targetSettings, PoolSettings pool) {
        Optional<LoadAnswer> local = supervisors.load(target);
        if (local.isPresent()) {
            loads.compute(
                    target, (name, previous) -> new TargetLoad(local.get(), clock.nowMillis(), new AtomicInteger()));
        }
        TargetLoad known = loads.get(target);
        long roundTripMicros = targetSettings.dataCentre().equals(settings.dataCentre()) ? 0 : CROSS_DATA_CENTRE_MICROS;
        if (known == null) {
            return new Candidate(
                    target,
                    targetSettings.dataCentre(),
                    true,
                    0,
                    0,
                    pool.slots(),
                    0,
                    UNKNOWN_LOAD_AGE_MILLIS,
                    roundTripMicros);
        }
        LoadAnswer load = known.load();
        return new Candidate(
                target,
                targetSettings.dataCentre(),
                load.available(),
                load.inFlight() + known.sentSince().get(),
                load.queued(),
                load.limit(),
                load.latencyMicros(),
                clock.nowMillis() - known.receivedAtMillis(),
                roundTripMicros);
    }

    private void probe(List<Candidate> candidates) {
        if (!settings.policy().loadAwareChoice() || candidates.isEmpty()) {
            return;
        }
        for (int count = 0; count < PROBES_PER_REQUEST; count++) {
            Candidate candidate = candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
            if (candidate.ageMillis() >= MIN_PROBE_INTERVAL_MILLIS) {
                probe(candidate.target());
            }
        }
    }

    private CompletableFuture<Void> probe(String target) {
        Optional<Member> holder = records.fleet().holder(RoleNames.target(target));
        if (holder.isEmpty() || holder.get().id().equals(memberId)) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<Void> running = runningProbes.putIfAbsent(target, started);
        if (running != null) {
            return running;
        }
        metrics.count("entry.load-probes");
        peers.call(holder.get().peerAddress(), new LoadProbe(target), PROBE_TIMEOUT_MILLIS)
                .whenComplete((response, failure) -> {
                    LoadAnswer load = response instanceof LoadAnswer reported
                            ? reported
                            : new LoadAnswer(target, false, 0, 0, 1, 0);
                    loads.put(target, new TargetLoad(load, clock.nowMillis(), new AtomicInteger()));
                    runningProbes.remove(target);
                    started.complete(null);
                });
        return started;
    }
}
