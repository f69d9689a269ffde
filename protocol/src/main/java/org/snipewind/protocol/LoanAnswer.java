package org.snipewind.protocol;

import java.util.Map;

/**
 * Answer to a {@link DemandReport}.
 *
 * @param accepted false if the receiver does not lead
 * @param lentPerSecond lent rate by organisation, valid from the sending of the report
 */
public record LoanAnswer(boolean accepted, Map<String, Double> lentPerSecond) implements PeerMessage {}
