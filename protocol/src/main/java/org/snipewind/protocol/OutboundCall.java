package org.snipewind.protocol;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.CompletableFuture;

/** An encoded message on its way; changed on the event loop of its link only. */
final class OutboundCall {

    private final long number;
    private final byte[] body;
    private final boolean forwarding;
    private final boolean expectsAnswer;
    private final CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    private ScheduledFuture<?> timeout;

    OutboundCall(Frame frame) {
        this.number = frame.number();
        this.body = frame.encode();
        this.forwarding = Frame.isForwarding(frame.message());
        this.expectsAnswer = frame.kind() == FrameKind.CALL;
    }

    long number() {
        return number;
    }

    byte[] body() {
        return body;
    }

    boolean isForwarding() {
        return forwarding;
    }

    boolean expectsAnswer() {
        return expectsAnswer;
    }

    CompletableFuture<PeerMessage> answer() {
        return answer;
    }

    void endBy(ScheduledFuture<?> newTimeout) {
        timeout = newTimeout;
    }

    void complete(PeerMessage message) {
        cancelTimeout();
        answer.complete(message);
    }

    void fail(String problem, boolean sent, Throwable cause) {
        cancelTimeout();
        answer.completeExceptionally(new PeerException(problem, sent, cause));
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
