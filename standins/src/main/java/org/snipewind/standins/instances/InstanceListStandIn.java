package org.snipewind.standins.instances;

import io.micronaut.core.type.Argument;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.instances.InstanceState;
import org.snipewind.clients.transport.JsonCodec;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.standins.server.StandInHandler;
import org.snipewind.standins.server.StandInRequest;
import org.snipewind.standins.server.StandInResponse;

/**
 * Stand-in for the platform's instance list, in which each change becomes visible only after a lag.
 *
 * <p>{@code GET /instances} returns the visible states, {@code PUT /control} replaces the actual states and {@code PUT
 * /control/lag?millis=N} sets the lag.
 */
public final class InstanceListStandIn implements StandInHandler {

    private final MillisClock clock;
    private final Deque<Change> changes = new ArrayDeque<>();
    private long lagMillis;

    /**
     * Creates an empty list.
     *
     * @param clock clock that determines which changes are visible
     * @param lagMillis time until a change becomes visible
     */
    public InstanceListStandIn(MillisClock clock, long lagMillis) {
        this.clock = clock;
        this.lagMillis = lagMillis;
        changes.add(new Change(Long.MIN_VALUE, Map.of()));
    }

    /**
     * Replaces the actual states.
     *
     * @param states state by instance name
     */
    public synchronized void setStates(Map<String, InstanceState> states) {
        changes.addLast(new Change(clock.nowMillis(), new TreeMap<>(states)));
    }

    /**
     * Sets the lag.
     *
     * @param millis time until a change becomes visible
     */
    public synchronized void setLagMillis(long millis) {
        lagMillis = millis;
    }

    /**
     * Returns the states that are visible now.
     *
     * @return state by instance name
     */
    public synchronized Map<String, InstanceState> visibleStates() {
        long visibleUntilMillis = clock.nowMillis() - lagMillis;
        Map<String, InstanceState> visible = Map.of();
        for (Change change : changes) {
            if (change.changedAtMillis() <= visibleUntilMillis) {
                visible = change.states();
            }
        }
        return visible;
    }

    @Override
    public CompletableFuture<StandInResponse> handle(StandInRequest request) {
        if (request.matches("GET", "/instances")) {
            Map<String, String> states = new TreeMap<>();
            visibleStates().forEach((name, state) -> states.put(name, state.name()));
            return CompletableFuture.completedFuture(StandInResponse.json(states));
        }
        if (request.matches("PUT", "/control/lag")) {
            setLagMillis(request.longParameter("millis").orElse(0L));
        } else if (request.matches("PUT", "/control")) {
            Map<String, InstanceState> states = new TreeMap<>();
            JsonCodec.decode(request.body(), Argument.mapOf(String.class, String.class))
                    .forEach((name, state) -> states.put(name, InstanceState.valueOf(state)));
            setStates(states);
        } else {
            return CompletableFuture.completedFuture(StandInResponse.empty(404));
        }
        return CompletableFuture.completedFuture(StandInResponse.empty(204));
    }

    private record Change(long changedAtMillis, Map<String, InstanceState> states) {}
}
