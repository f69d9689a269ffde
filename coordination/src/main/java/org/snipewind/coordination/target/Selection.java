package org.snipewind.coordination.target;

import java.util.Optional;

/**
 * A selected target.
 *
 * @param target the target
 * @param spillover why the request leaves the data centre of the instance, empty if it stays there
 */
public record Selection(TargetState target, Optional<SpilloverReason> spillover) {}
