package org.snipewind.coordination.target;

import java.util.List;
import java.util.function.Predicate;

/**
 * The targets from which one is selected for a request.
 *
 * @param targets targets in service
 * @param allowed whether the request may be sent to a target now
 * @param connected whether the request could use an open connection to a target
 */
public record Candidates(List<TargetState> targets, Predicate<TargetState> allowed, Predicate<TargetState> connected) {}
