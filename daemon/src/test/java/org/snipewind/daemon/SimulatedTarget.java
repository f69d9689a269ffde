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
import org.snipewind.clients.target.GrantOrder;
import org.snipewind.clients.target.TargetAnswer;
import org.snipewind.clients.target.TargetEndpoint;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.ownership.GrantValidator;
import org.snipewind.coordination.ownership.SliceTable;

/** A target with the real grant register that can die, freeze, restart and answer no grants. */
final class SimulatedTarget {

    final List<TargetRequest> executions = new ArrayList<>();
    final List<GrantOrder> orders = new ArrayList<>();
    boolean isDead;
    boolean answersNoGrant;
    boolean holdsAnswers;
    int refusals;

    private final String name;
    private final MillisClock clock;
    private final boolean checksTokens;
    private final Deque<Runnable> buffered = new ArrayDeque<>();
    private final List<Runnable> heldAnswers = new ArrayList<>();
    private GrantValidator register;
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
        register = new GrantValidator(clock, name + "-" + incarnations);
    }

    void freeze() {
        frozen = true;
    }

    void thaw() {
        frozen = false;
        while (!buffered.isEmpty()) {
            buffered.remove().run();
        }
    }

    void releaseAnswers() {
        holdsAnswers = false;
        List.copyOf(heldAnswers).forEach(Runnable::run);
        heldAnswers.clear();
    }

    /** The slices that the target would serve at this moment; a frozen target serves nothing, but still holds them. */
    Set<Integer> heldSlices() {
        Set<Integer> held = new HashSet<>();
        if (!isDead && register.isServable(register.highestToken(), OptionalInt.empty())) {
            for (int slice = 0; slice < SliceTable.SLICE_COUNT; slice++) {
                if (register.isServable(register.highestToken(), OptionalInt.of(slice))) {
                    held.add(slice);
                }
            }
        }
        return held;
    }

    TargetEndpoint endpointOf(SimulatedDaemon daemon) {
        return new TargetEndpoint() {
            @Override
            public CompletableFuture<GrantAcknowledgement> grant(GrantOrder order) {
                CompletableFuture<GrantAcknowledgement> result = new CompletableFuture<>();
                if (isDead) {
                    result.completeExceptionally(new ConnectException("refused"));
                } else if (!answersNoGrant) {
                    receive(() -> {
                        GrantAcknowledgement answer = take(order);
                        daemon.deliver(() -> result.complete(answer));
                    });
                }
                return result;
            }

            @Override
            public CompletableFuture<Either<Refusal, TargetAnswer>> send(TargetRequest request) {
                CompletableFuture<Either<Refusal, TargetAnswer>> result = new CompletableFuture<>();
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
            buffered.add(call);
        } else {
            call.run();
        }
    }

    private GrantAcknowledgement take(GrantOrder order) {
        orders.add(order);
        boolean accepted = register.applyGrant(
                order.token(), order.tableVersion(), order.slices(), order.validUntilTargetMillis());
        return new GrantAcknowledgement(
                accepted, register.highestToken(), register.nowMillis(), register.incarnation(), 0, false);
    }

    private void serve(
            TargetRequest request, SimulatedDaemon daemon, CompletableFuture<Either<Refusal, TargetAnswer>> result) {
        if (checksTokens && !register.isServable(request.token(), request.slice())) {
            refusals++;
            daemon.deliver(() -> result.complete(Either.left(Refusal.of(ErrorKind.FENCED, "no grant"))));
            return;
        }
        executions.add(request);
        TargetAnswer answer = new TargetAnswer(200, Map.of(), new byte[0]);
        Runnable reply = () -> daemon.deliver(() -> result.complete(Either.right(answer)));
        if (holdsAnswers) {
            heldAnswers.add(reply);
        } else {
            reply.run();
        }
    }
}
