package org.snipewind.daemon;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;
import org.snipewind.clients.target.GrantAcknowledgement;
import org.snipewind.clients.target.GrantRequest;
import org.snipewind.clients.target.TargetClient;
import org.snipewind.clients.target.TargetRequest;
import org.snipewind.clients.target.TargetResponse;
import org.snipewind.coordination.error.Refusal;

/** A target that accepts every grant and responds as set by the test. */
final class FakeTarget implements TargetClient {

    final BlockingQueue<TargetRequest> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    private volatile Function<TargetRequest, CompletableFuture<Either<Refusal, TargetResponse>>> behaviour;

    FakeTarget() {
        respondWith(200, Map.of("Content-Type", List.of("text/plain")), "done".getBytes(DaemonFixture.UTF_8));
    }

    void respondWith(int status, Map<String, List<String>> headers, byte[] body) {
        behaviour =
                request -> CompletableFuture.completedFuture(Either.right(new TargetResponse(status, headers, body)));
    }

    void refuse(Refusal refusal) {
        behaviour = request -> CompletableFuture.completedFuture(Either.left(refusal));
    }

    CompletableFuture<Either<Refusal, TargetResponse>> holdResponse() {
        CompletableFuture<Either<Refusal, TargetResponse>> heldResponse = new CompletableFuture<>();
        behaviour = request -> heldResponse;
        return heldResponse;
    }

    @Override
    public CompletableFuture<GrantAcknowledgement> grant(GrantRequest grantRequest) {
        return CompletableFuture.completedFuture(
                new GrantAcknowledgement(true, grantRequest.token(), System.nanoTime() / 1_000_000, "first", 0, false));
    }

    @Override
    public CompletableFuture<Either<Refusal, TargetResponse>> send(TargetRequest request) {
        requests.add(request);
        return behaviour.apply(request);
    }

    @Override
    public void cancel(String requestId) {
        cancelled.add(requestId);
    }

    @Override
    public void close() {}
}
