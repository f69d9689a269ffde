package org.snipewind.router.path;

import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Execution;
import org.snipewind.router.log.RouterEvent;

/** Records the decisions about one request in the log and the metrics. */
final class RequestRecorder {

    private final RoutingContext context;
    private String requestId = "none";
    private String route = "none";
    private String pool = "none";

    RequestRecorder(RoutingContext context) {
        this.context = context;
    }

    void setRequestId(String value) {
        requestId = value;
    }

    void setClassification(RequestClassifier.Classification classification) {
        route = classification.route().name();
        pool = classification.pool().name();
    }

    void retried(String reason, int attempts, long remainingMillis) {
        context.metrics().countRetry(reason);
        context.log()
                .write(
                        RouterEvent.REQUEST_REPEATED,
                        () -> describe() + " reason=" + reason + " attempts=" + attempts + " remaining="
                                + remainingMillis + "ms");
    }

    void callerLeft(long afterMillis, int attempts) {
        context.metrics().count("callers.left");
        context.log()
                .write(RouterEvent.CALLER_LEFT, () -> describe() + " after=" + afterMillis + "ms attempts=" + attempts);
    }

    void refused(ErrorKind kind, String detail) {
        context.metrics().countRefusal(kind);
        RouterEvent event =
                kind.execution() == Execution.NOT_RUN ? RouterEvent.REQUEST_REFUSED : RouterEvent.REQUEST_FAILED;
        context.log()
                .write(
                        event,
                        () -> describe() + " kind=" + kind.wireName() + " status=" + kind.status() + " " + detail);
    }

    private String describe() {
        return "request=" + requestId + " route=" + route + " pool=" + pool;
    }
}
