package org.snipewind.coordination.rollout;

/**
 * A decision about a roll-out.
 *
 * @param record the record to write
 * @param reason cause of the decision, for the log
 */
public record RolloutDecision(RolloutRecord record, String reason) {}
