package org.snipewind.coordination.error;

import java.util.Objects;
import java.util.Optional;

/**
 * The outcome of a request that was not answered by a target.
 *
 * @param kind the error kind
 * @param detail a sentence for the caller, without secrets
 * @param retryAfterMillis milliseconds after which another attempt may succeed
 */
public record Refusal(ErrorKind kind, String detail, Optional<Long> retryAfterMillis) {

    /** Checks that no component is null. */
    public Refusal {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(detail);
        Objects.requireNonNull(retryAfterMillis);
    }

    /**
     * Creates a refusal without a retry time.
     *
     * @param kind the error kind
     * @param detail a sentence for the caller
     * @return the refusal
     */
    public static Refusal of(ErrorKind kind, String detail) {
        return new Refusal(kind, detail, Optional.empty());
    }
}
