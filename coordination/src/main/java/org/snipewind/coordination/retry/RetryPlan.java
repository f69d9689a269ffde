package org.snipewind.coordination.retry;

/**
 * A retry that {@link RetryPolicy} allows.
 *
 * @param delayMillis milliseconds to wait before the next attempt
 * @param reason wire name of the error kind that is retried
 */
public record RetryPlan(long delayMillis, String reason) {}
