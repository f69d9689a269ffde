package org.snipewind.coordination.error;

import java.util.Objects;
import java.util.Optional;

/**
 * The outcome of a request that is not completed by the response of a target.
 *
 * @param kind the error kind
 * @param detail a sentence for the caller, without secrets
 * @param retryAfterMillis milliseconds after which another attempt may succeed, or empty if that time is not known
 */
public record Refusal(ErrorKind kind, String detail, Optional<Long> retryAfterMillis) {

    /**
     * Checks that no component is null.
     *
     * @throws NullPointerException if a component is null
     */
    public Refusal {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(detail);
        Objects.requireNonNull(retryAfterMillis);
    }

    /**
     * Creates a refusal without a retry time.
     *
     * @param kind the error kind
     * @param detail a sentence for the caller, without secrets
     * @return the refusal
     */
    public static Refusal of(ErrorKind kind, String detail) {
        return new Refusal(kind, detail, Optional.empty());
    }
}
