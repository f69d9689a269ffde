package org.snipewind.router.path;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.target.TargetNotices;
import org.snipewind.coordination.target.TargetState;

/**
 * The reason why a request has no target at present.
 *
 * @param kind error kind for the caller
 * @param retryAfterMillis time after which the caller should retry; without room, the least time after which other
 *     instances may find room, 0 if it is not known
 * @param detail inputs of the decision, for the log
 * @param ownerExpectedMillis least time after which the owner of the key is expected to take requests, empty if
 *     waiting does not help
 * @param untilRoomMillis least time after which a target is expected to have room, empty if this is not the reason
 * @param holder the only target that can serve the request, empty if any target of the pool can
 */
record NoTarget(
        ErrorKind kind,
        long retryAfterMillis,
        String detail,
        OptionalLong ownerExpectedMillis,
        OptionalDouble untilRoomMillis,
        Optional<TargetState> holder) {

    NoTarget(ErrorKind kind, long retryAfterMillis, String detail, OptionalLong ownerExpectedMillis) {
        this(kind, retryAfterMillis, detail, ownerExpectedMillis, OptionalDouble.empty(), Optional.empty());
    }

    NoTarget withDetail(String newDetail) {
        return new NoTarget(kind, retryAfterMillis, newDetail, ownerExpectedMillis, untilRoomMillis, holder);
    }

    /** Returns whether the owner of the key is known and takes no requests now. */
    boolean isRefusedByOwner() {
        return kind == ErrorKind.OVERLOADED || kind == ErrorKind.TARGET_PAUSED;
    }

    static <T> Either<NoTarget, T> refuse(ErrorKind kind, long retryAfterMillis, String detail) {
        return Either.left(new NoTarget(kind, retryAfterMillis, detail, OptionalLong.empty()));
    }

    static <T> Either<NoTarget, T> withoutRoom(
            double untilRoomMillis, Optional<TargetState> holder, double untilReturnMillis, String detail) {
        return Either.left(new NoTarget(
                ErrorKind.OVERLOADED,
                (long) untilReturnMillis,
                detail,
                OptionalLong.empty(),
                OptionalDouble.of(untilRoomMillis),
                holder));
    }

    static <T> Either<NoTarget, T> awaitOwner(long leastWaitMillis, String detail) {
        return Either.left(new NoTarget(
                ErrorKind.OWNER_UNAVAILABLE,
                TargetResolver.OWNER_RETRY_AFTER_MILLIS,
                detail,
                OptionalLong.of(leastWaitMillis)));
    }

    static <T> Either<NoTarget, T> awaitEndOfPause(long pauseMillis, boolean waitHelps, String detail) {
        // Callers that are refused come back at different times, so that they are no wave.
        long spreadMillis = ThreadLocalRandom.current().nextLong(TargetNotices.RESUMPTION_MILLIS);
        OptionalLong wait = waitHelps ? OptionalLong.of(pauseMillis) : OptionalLong.empty();
        return Either.left(new NoTarget(ErrorKind.TARGET_PAUSED, pauseMillis + spreadMillis, detail, wait));
    }
}
