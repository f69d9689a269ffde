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
import org.snipewind.router.metrics.RouterMetrics;

/** The supervisors' views of the targets of undivided pools, refreshed by probes that accompany the traffic. */
final class UndividedPoolSelector {

    private static final int PROBES_PER_REQUEST = 2;
    private static final long PROBE_TIMEOUT_MILLIS = 200;
    // A view older than this says little about a target that serves a request in some milliseconds.
    private static final long PROBE_INTERVAL_MILLIS = 5;
    // A request waits for fresh views of this many targets, since a stale view does not show that a target became slow.
    private static final int VIEWS_BEFORE_CHOICE = 4;
    private static final long CURRENT_MILLIS = 20;
    // Several round trips between data centres; a supervisor that does not answer by then is not worth the wait.
    private static final long LONGEST_REFRESH_MILLIS = 5;
    private static final long NEVER_MILLIS = 60_000;
    // Crossing to another data centre costs about a millisecond each way in the deployments that the router serves.
    private static final long OTHER_DATA_CENTRE_MICROS = 1_500;

    private final String memberId;
    private final DaemonSettings settings;
    private final MillisClock clock;
    private final RecordCache records;
    private final SupervisorRegistry supervisors;
    private final PeerConnections peers;
    private final RouterMetrics metrics;
    private final Map<String, View> views = new ConcurrentHashMap<>();
    private final Map<String, CompletableFuture<Void>> probing = new ConcurrentHashMap<>();

    /** The newest answer about a target and the requests that this daemon has sent it since. */
    private record View(LoadAnswer answer, long atMillis, AtomicInteger sentSince) {}

    UndividedPoolSelector(
            String memberId,
            DaemonSettings settings,
            MillisClock clock,
            RecordCache records,
            SupervisorRegistry supervisors,
            PeerConnections peers,
            RouterMetrics metrics) {
        this.memberId = memberId;
        this.settings = settings;
        this.clock = clock;
        this.records = records;
        this.supervisors = supervisors;
        this.peers = peers;
        this.metrics = metrics;
    }

    /** Asks for views of some targets if too few are current; completes when they came or the wait is over. */
    CompletableFuture<Void> refresh(FleetConfiguration configuration, String poolName) {
        if (!settings.policy().loadAwareChoice()) {
            return CompletableFuture.completedFuture(null);
        }
        List<Candidate> candidates = candidates(configuration, poolName);
        Collections.shuffle(candidates, ThreadLocalRandom.current());
        List<Candidate> stale = candidates.stream()
                .filter(candidate -> candidate.ageMillis() > CURRENT_MILLIS)
                .toList();
        int missing = Math.min(VIEWS_BEFORE_CHOICE, candidates.size()) - (candidates.size() - stale.size());
        if (candidates.size() < 2 || missing <= 0) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<?>[] probes = stale.stream()
                .limit(missing)
                .map(candidate -> probe(candidate.target()))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(probes).completeOnTimeout(null, LONGEST_REFRESH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Chooses a target of an undivided pool. */
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
        View view = views.get(target);
        if (view != null) {
            view.sentSince().incrementAndGet();
        }
        return records.fleet()
                .holder(RoleNames.target(target))
                .map(member -> new Destination(target, member, OptionalInt.empty(), 0));
    }

    private Candidate candidate(String target, TargetSettings targetSettings, PoolSettings pool) {
        Optional<LoadAnswer> local = supervisors.load(target);
        if (local.isPresent()) {
            views.compute(target, (name, known) -> new View(local.get(), clock.nowMillis(), new AtomicInteger()));
        }
        View view = views.get(target);
        long distance = targetSettings.dataCentre().equals(settings.dataCentre()) ? 0 : OTHER_DATA_CENTRE_MICROS;
        if (view == null) {
            return new Candidate(
                    target, targetSettings.dataCentre(), true, 0, 0, pool.slots(), 0, NEVER_MILLIS, distance);
        }
        LoadAnswer answer = view.answer();
        return new Candidate(
                target,
                targetSettings.dataCentre(),
                answer.available(),
                answer.inFlight() + view.sentSince().get(),
                answer.queued(),
                answer.limit(),
                answer.latencyMicros(),
                clock.nowMillis() - view.atMillis(),
                distance);
    }

    private void probe(List<Candidate> candidates) {
        if (!settings.policy().loadAwareChoice() || candidates.isEmpty()) {
            return;
        }
        for (int count = 0; count < PROBES_PER_REQUEST; count++) {
            Candidate candidate = candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
            if (candidate.ageMillis() >= PROBE_INTERVAL_MILLIS) {
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
        CompletableFuture<Void> running = probing.putIfAbsent(target, started);
        if (running != null) {
            return running;
        }
        metrics.count("entry.load-probes");
        peers.call(holder.get().peerAddress(), new LoadProbe(target), PROBE_TIMEOUT_MILLIS)
                .whenComplete((answer, failure) -> {
                    LoadAnswer load =
                            answer instanceof LoadAnswer found ? found : new LoadAnswer(target, false, 0, 0, 1, 0);
                    views.put(target, new View(load, clock.nowMillis(), new AtomicInteger()));
                    probing.remove(target);
                    started.complete(null);
                });
        return started;
    }
}
