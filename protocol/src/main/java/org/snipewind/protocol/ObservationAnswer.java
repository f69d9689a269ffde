package org.snipewind.protocol;

import java.util.List;
import org.snipewind.coordination.target.TargetObservation;

/**
 * Answer to an {@link ObservationDelta}.
 *
 * @param sequence number of this answer
 * @param observations what other instances have observed since the last answer, at most one for each target
 */
public record ObservationAnswer(long sequence, List<TargetObservation> observations) implements PeerMessage {}
