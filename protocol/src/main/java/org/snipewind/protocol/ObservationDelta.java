package org.snipewind.protocol;

import java.util.List;
import org.snipewind.coordination.target.TargetObservation;

/**
 * What an instance has observed of targets since its last message, sent to the exchange of its data centre.
 *
 * @param knownSequence number of the last answer that it received from this exchange, 0 if none
 * @param observations observations, at most one for each target
 */
public record ObservationDelta(long knownSequence, List<TargetObservation> observations) implements PeerMessage {}
