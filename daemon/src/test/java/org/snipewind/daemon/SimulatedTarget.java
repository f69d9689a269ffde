package org.snipewind.daemon;

import io.vavr.control.Either;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.TargetClient;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.ownership.GrantValidator;
import org.snipewind.coordination.ownership.SliceTable;

/** A target with the real grant validation that can stop, freeze, restart and ignore grant requests. */
final class SimulatedTarget {

    final List<TargetRequest> executions = new ArrayList<>();
    final List<GrantRequest> grantRequests = new ArrayList<>();
    boolean isDead;
    boolean ignoresGrants;
    boolean holdsResponses;
    int refusals;

    private final String name;
    private final MillisClock clock;
    private final boolean checksTokens;
    private final Deque<Runnable> bufferedCalls = new ArrayDeque<>();
    private final List<Runnable> heldResponses = new ArrayList<>();
    private GrantValidator grantValidator;
    private int incarnations;
    private boolean frozen;

    SimulatedTarget(String name, MillisClock clock, boolean checksTokens) {
        this.name = name;
        this.clock = clock;
        this.checksTokens = checksTokens;
        restart();
    }

    void restart() {
        incarnations++;
        grantValidator = new GrantValidator(clock, name + "-" + incarnations);
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        while (!bufferedCalls.isEmpty()) {
            bufferedCalls.remove().run();
        }
    }

    void releaseResponses() {
        holdsResponses = false;
        List.copyOf(heldResponses).forEach(Runnable::run);
        heldResponses.clear();
    }

    /** Returns the slices that the target may serve now; a frozen target serves nothing but still holds them. */
    Set<Integer> heldSlices() {
        Set<Integer> held = new HashSet<>();
        if (!isDead && grantValidator.isServable(grantValidator.highestToken(), OptionalInt.empty())) {
            for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
                if (grantValidator.isServable(grantValidator.highestToken(), OptionalInt.of(slice))) {
                    held.add(slice);
                }
            }
        }
        return held;
    }

    TargetClient clientFor(SimulatedDaemon daemon) {
        return new TargetClient() {
            @Override
            public CompletableFuture<GrantAcknowledgement> grant(GrantRequest grantRequest) {
                CompletableFuture<GrantAcknowledgement> result = new CompletableFuture<>();
                if (isDead) {
                    result.completeExceptionally(new ConnectException("refused"));
                } else if (!ignoresGrants) {
                    receive(() -> {
                        GrantAcknowledgement acknowledgement = applyGrant(grantRequest);
                        daemon.deliver(() -> result.complete(acknowledgement));
                    });
                }
                return result;
            }

            @Override
            public CompletableFuture<Either<Refusal, TargetResponse>> send(TargetRequest request) {
                CompletableFuture<Either<Refusal, TargetResponse>> result = new CompletableFuture<>();
                if (isDead) {
                    result.complete(Either.left(Refusal.of(ErrorKind.TARGET_UNREACHABLE, "refused")));
                } else {
                    receive(() -> serve(request, daemon, result));
                }
                return result;
            }

            @Override
            public void cancel(String requestId) {}

            @Override
            public void close() {}
        };
    }

    private void receive(Runnable call) {
        if (frozen) {
            bufferedCalls.add(call);
        } else {
            call.run();
        }
    }

    private GrantAcknowledgement applyGrant(GrantRequest grantRequest) {
        grantRequests.add(grantRequest);
        boolean accepted = grantValidator.applyGrant(
                grantRequest.token(),
                grantRequest.tableVersion(),
                grantRequest.slices(),
                grantRequest.validUntilTargetMillis());
        return new GrantAcknowledgement(
                accepted,
                grantValidator.highestToken(),
                grantValidator.nowMillis(),
                grantValidator.incarnation(),
                0,
                false);
    }

    private void serve(
            TargetRequest request, SimulatedDaemon daemon, CompletableFuture<Either<Refusal, TargetResponse>> result) {
        if (checksTokens && !grantValidator.isServable(request.token(), request.slice())) {
            refusals++;
            daemon.deliver(() -> result.complete(Either.left(Refusal.of(ErrorKind.FENCED, "no grant"))));
            return;
        }
        executions.add(request);
        TargetResponse response = new TargetResponse(200, Map.of(), new byte[0]);
        Runnable sendResponse = () -> daemon.deliver(() -> result.complete(Either.right(response)));
        if (holdsResponses) {
            heldResponses.add(sendResponse);
        } else {
            sendResponse.run();
        }
    }
}
