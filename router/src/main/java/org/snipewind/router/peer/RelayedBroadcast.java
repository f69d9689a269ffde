package org.snipewind.router.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.protocol.MirrorDelta;
import org.snipewind.protocol.PeerMessage;
import org.snipewind.protocol.RelayAcknowledgement;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.metrics.ProcessMetrics;
import org.snipewind.router.state.MemberRecord;

/**
 * Sends the leader's broadcast directly to the instances of its own data centre, and to one relay in each other data
 * centre, which forwards it. What a relay has not acknowledged is sent again, in order, through the relay that takes
 * its place or directly. Confined to the control event loop.
 */
final class RelayedBroadcast {

    /**
     * Longest wait for the acknowledgement of a relay. Two of them and the confirmation interval of 400 ms are shorter
     * than the time for which a confirmation is valid.
     */
    static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 300;

    /** A time-out that is noticed this late shows that this instance did not run, and tells nothing about the relay. */
    private static final long MAX_TIMEOUT_LATENESS_MILLIS = 100;

    private final MemberRecord self;
    private final Supplier<Collection<MemberRecord>> members;
    private final Supplier<MirrorDelta> confirmation;
    private final BiConsumer<MirrorDelta, Collection<MemberRecord>> sender;
    private final BiFunction<MemberRecord, MirrorDelta, CompletableFuture<PeerMessage>> relayCaller;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final ProcessMetrics metrics;
    private final RelayChoice choice = new RelayChoice();
    private final Map<String, RelayLink> links = new HashMap<>();

    /**
     * Creates a broadcast.
     *
     * @param self this instance
     * @param members supplies all instances of the router
     * @param confirmation creates a delta without changes
     * @param sender sends a delta to instances without waiting for responses; skips this instance
     * @param relayCaller sends a delta to a relay and waits for its response
     * @param clock clock that measures the age of deltas
     * @param log the event log
     * @param metrics counts the broadcasts
     */
    RelayedBroadcast(
            MemberRecord self,
            Supplier<Collection<MemberRecord>> members,
            Supplier<MirrorDelta> confirmation,
            BiConsumer<MirrorDelta, Collection<MemberRecord>> sender,
            BiFunction<MemberRecord, MirrorDelta, CompletableFuture<PeerMessage>> relayCaller,
            MillisClock clock,
            RouterEventLog log,
            ProcessMetrics metrics) {
        this.self = self;
        this.members = members;
        this.confirmation = confirmation;
        this.sender = sender;
        this.relayCaller = relayCaller;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Sends a delta to all other instances. */
    void broadcast(MirrorDelta delta) {
        choice.retain(members.get());
        Map<String, List<MemberRecord>> byDataCentre =
                members.get().stream().collect(Collectors.groupingBy(MemberRecord::dataCentre));
        links.keySet().retainAll(byDataCentre.keySet());
        List<MemberRecord> direct = new ArrayList<>(byDataCentre.getOrDefault(self.dataCentre(), List.of()));
        RelayLink.Entry entry = new RelayLink.Entry(delta, clock.nowMillis());
        byDataCentre.forEach((dataCentre, instances) -> {
            if (dataCentre.equals(self.dataCentre())) {
                return;
            }
            Optional<RelayLink> link = currentLink(dataCentre, instances);
            if (link.isPresent()) {
                link.get().add(entry);
                transmit(link.get(), entry);
            } else {
                direct.addAll(instances);
            }
        });
        sender.accept(delta, direct);
    }

    /** Forgets the relays and what they have not acknowledged, once this instance does not lead any more. */
    void clear() {
        links.clear();
        choice.clear();
    }

    /**
     * Returns the link to the relay of a data centre after what a former relay has not acknowledged was sent again, so
     * that the order is kept; empty if its instances get the broadcast directly.
     */
    private Optional<RelayLink> currentLink(String dataCentre, Collection<MemberRecord> instances) {
        Optional<RelayLink> link = Optional.ofNullable(links.get(dataCentre));
        Optional<MemberRecord> relay = choice.relayOf(dataCentre, instances, clock.nowMillis());
        if (relay.isPresent()
                && link.filter(current -> current.relay().isSameProcess(relay.get()))
                        .isPresent()) {
            return link;
        }
        List<RelayLink.Entry> unacknowledged =
                link.map(RelayLink::unacknowledged).orElse(List.of());
        if (relay.isEmpty()) {
            links.remove(dataCentre);
            unacknowledged.forEach(entry -> sender.accept(entry.delta().forInstance(elapsedMillis(entry)), instances));
            return Optional.empty();
        }
        RelayLink next = new RelayLink(relay.get(), unacknowledged);
        links.put(dataCentre, next);
        unacknowledged.forEach(entry -> transmit(next, entry));
        // A call that fails at once may have replaced the relay again.
        return Optional.ofNullable(links.get(dataCentre));
    }

    private void transmit(RelayLink link, RelayLink.Entry entry) {
        if (!isCurrent(link)) {
            return;
        }
        metrics.count("broadcasts.sent-to-relays");
        long sentMillis = clock.nowMillis();
        MirrorDelta delta =
                entry.delta().forRelay(elapsedMillis(entry), link.clockOffset().toRemote(sentMillis));
        relayCaller.apply(link.relay(), delta).whenComplete((response, failure) -> {
            if (!isCurrent(link)) {
                return;
            }
            if (failure == null
                    && response instanceof RelayAcknowledgement acknowledgement
                    && acknowledgement.accepted()) {
                onAcknowledged(link, entry, acknowledgement);
            } else if (clock.nowMillis() - sentMillis > ACKNOWLEDGEMENT_TIMEOUT_MILLIS + MAX_TIMEOUT_LATENESS_MILLIS) {
                transmit(link, entry);
            } else {
                replaceRelay(link, failure == null ? "not accepted" : failure.getMessage());
            }
        });
    }

    private void onAcknowledged(RelayLink link, RelayLink.Entry entry, RelayAcknowledgement acknowledgement) {
        boolean offsetWasKnown = link.clockOffset().isKnown();
        link.clockOffset().record(acknowledgement.receivedMillis(), clock.nowMillis());
        link.acknowledge(entry);
        choice.recordAcknowledgement(link.relay());
        if (!offsetWasKnown) {
            // The instances could not tell the age of the first delta, so it did not confirm their caches.
            RelayLink.Entry confirmed = new RelayLink.Entry(confirmation.get(), clock.nowMillis());
            link.add(confirmed);
            transmit(link, confirmed);
        }
    }

    private void replaceRelay(RelayLink link, String cause) {
        MemberRecord failed = link.relay();
        choice.recordFailure(failed, clock.nowMillis());
        metrics.count("broadcasts.relays-replaced");
        List<MemberRecord> instances = members.get().stream()
                .filter(member -> member.dataCentre().equals(failed.dataCentre()))
                .toList();
        Optional<RelayLink> next = currentLink(failed.dataCentre(), instances);
        log.write(
                RouterEvent.RELAY_REPLACED,
                () -> "data-centre=" + failed.dataCentre() + " relay=" + failed.name() + " next="
                        + next.map(current -> current.relay().name()).orElse("none") + " unacknowledged="
                        + link.unacknowledged().size() + " cause=" + cause);
    }

    private boolean isCurrent(RelayLink link) {
        return links.get(link.relay().dataCentre()) == link;
    }

    private long elapsedMillis(RelayLink.Entry entry) {
        return clock.nowMillis() - entry.createdMillis();
    }
}
