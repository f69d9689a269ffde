package org.snipewind.router.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.target.ObservationExchange;
import org.snipewind.coordination.target.TargetObservation;
import org.snipewind.coordination.target.TargetState;
import org.snipewind.protocol.ObservationAnswer;
import org.snipewind.protocol.ObservationDelta;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.router.log.GuardedTask;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.state.FleetView;
import org.snipewind.router.state.MemberRecord;

/**
 * Shares what this instance learns about targets with the other instances of its data centre. One of them, the relay,
 * merges the observations of all. Without an answer, this instance goes on with its own. Confined to the control event
 * loop.
 */
public final class ObservationSharing {

    /**
     * Number of instances up to which nothing is shared. In smaller fleets each instance sends enough requests to each
     * target to know its service time and load.
     */
    static final int MAX_FLEET_WITHOUT_SHARING = 20;

    /** Interval between exchanges; the load of a target changes within some hundred milliseconds. */
    static final long EXCHANGE_INTERVAL_MILLIS = 250;

    /** Longest wait for an answer, shorter than the interval so that at most one exchange is in progress. */
    static final long CALL_TIMEOUT_MILLIS = 200;

    /** Time for which an instance that did not answer is not asked, if there is another one. */
    static final long AVOID_MILLIS = 2_000;

    private final BiFunction<MemberRecord, ObservationDelta, CompletableFuture<PeerMessage>> caller;
    private final Supplier<FleetView> views;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final ProcessMetrics metrics;
    private final MemberRecord self;
    private final ObservationExchange exchange = new ObservationExchange();
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private Map<String, TargetState> indexedTargets = Map.of();
    private Map<Integer, TargetState> targetsByNumber = Map.of();
    private String relayBootId = "";
    private long knownSequence;
    private boolean exchanging;
    private boolean lost;

    /**
     * Creates an object that shares nothing until it is started.
     *
     * @param caller calls another instance, and completes on the control event loop
     * @param views supplies the current fleet view
     * @param clock clock of the observations
     * @param log the event log
     * @param metrics counts exchanges and observations
     * @param self this instance
     */
    ObservationSharing(
            BiFunction<MemberRecord, ObservationDelta, CompletableFuture<PeerMessage>> caller,
            Supplier<FleetView> views,
            MillisClock clock,
            RouterEventLog log,
            ProcessMetrics metrics,
            MemberRecord self) {
        this.caller = caller;
        this.views = views;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.self = self;
    }

    /**
     * Starts the periodic exchange.
     *
     * @param loop the control event loop
     */
    public void start(EventLoop loop) {
        loop.scheduleAtFixedRate(
                new GuardedTask(log, "exchange of observations", this::exchangeObservations),
                EXCHANGE_INTERVAL_MILLIS,
                EXCHANGE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Answers another instance, for which this instance is the relay.
     *
     * @param processId id of the other process
     * @param delta what it has observed
     * @return what the others have observed
     */
    ObservationAnswer answer(String processId, ObservationDelta delta) {
        ObservationExchange.Result result =
                exchange.exchange(processId, delta.knownSequence(), delta.observations(), clock.nowMillis());
        return new ObservationAnswer(result.sequence(), result.observations());
    }

    /** Sends what is new to the relay and takes over what it answers. */
    void exchangeObservations() {
        FleetView view = views.get();
        if (view.fleetSize() <= MAX_FLEET_WITHOUT_SHARING || exchanging) {
            return;
        }
        Optional<MemberRecord> relay = chooseRelay(view);
        if (relay.isEmpty()) {
            return;
        }
        if (!relay.get().bootId().equals(relayBootId)) {
            relayBootId = relay.get().bootId();
            knownSequence = 0;
        }
        ObservationDelta delta = new ObservationDelta(knownSequence, drain(view));
        metrics.count("observations.sent", delta.observations().size());
        if (relay.get().isSameProcess(self)) {
            apply(view, answer(self.processId(), delta));
            return;
        }
        exchanging = true;
        caller.apply(relay.get(), delta).whenComplete((response, failure) -> {
            exchanging = false;
            if (failure == null && response instanceof ObservationAnswer answer) {
                apply(views.get(), answer);
            } else {
                // What was sent is not sent again: it may have arrived, and counting it twice is worse than a gap.
                onLost(relay.get(), failure == null ? "unexpected answer" : failure.getMessage());
            }
        });
    }

    private Optional<MemberRecord> chooseRelay(FleetView view) {
        long now = clock.nowMillis();
        avoidedUntilMillis.values().removeIf(until -> until <= now);
        List<MemberRecord> answering = view.members().values().stream()
                .filter(member -> !avoidedUntilMillis.containsKey(member.bootId()))
                .toList();
        return RelayDirectory.relayOf(self.dataCentre(), answering)
                .or(() ->
                        RelayDirectory.relayOf(self.dataCentre(), view.members().values()));
    }

    private List<TargetObservation> drain(FleetView view) {
        long now = clock.nowMillis();
        List<TargetObservation> observations = new ArrayList<>();
        for (TargetState target : view.targets().values()) {
            target.drainObservation(now).ifPresent(observations::add);
        }
        return observations;
    }

    private void apply(FleetView view, ObservationAnswer answer) {
        knownSequence = answer.sequence();
        metrics.count("observations.received", answer.observations().size());
        if (lost) {
            lost = false;
            log.write(RouterEvent.OBSERVATIONS_REGAINED, () -> "relay-boot=" + relayBootId);
        }
        index(view);
        long now = clock.nowMillis();
        for (TargetObservation observation : answer.observations()) {
            TargetState target = targetsByNumber.get(observation.target());
            if (target != null) {
                target.onObservation(observation, now);
            }
        }
    }

    private void onLost(MemberRecord relay, String cause) {
        metrics.count("observations.exchanges-lost");
        avoidedUntilMillis.put(relay.bootId(), clock.nowMillis() + AVOID_MILLIS);
        if (!lost) {
            lost = true;
            log.write(RouterEvent.OBSERVATIONS_LOST, () -> "relay=" + relay.name() + " cause=" + cause);
        }
    }

    /** Maps the numbers of incarnations to targets; two targets with the same number get no observations. */
    private void index(FleetView view) {
        if (indexedTargets == view.targets()) {
            return;
        }
        Map<Integer, TargetState> byNumber = new HashMap<>();
        Set<Integer> ambiguous = new HashSet<>();
        for (TargetState target : view.targets().values()) {
            int number = TargetObservation.numberOf(target.incarnation());
            if (byNumber.put(number, target) != null) {
                ambiguous.add(number);
            }
        }
        byNumber.keySet().removeAll(ambiguous);
        targetsByNumber = byNumber;
        indexedTargets = view.targets();
    }
}
