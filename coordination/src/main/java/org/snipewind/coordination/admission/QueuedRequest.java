package org.snipewind.coordination.admission;

/**
 * A request in an {@link AdmissionQueue}.
 *
 * @param <T> type of the payload
 * @param id unique id of the request
 * @param organisation name of the organisation to which the request is charged
 * @param urgent whether the request belongs to the urgent class
 * @param deadlineMillis clock reading after which a response is of no use
 * @param bytes size of the request in bytes
 * @param payload what the owner of the queue needs in order to send the request
 */
public record QueuedRequest<T>(
        String id, String organisation, boolean urgent, long deadlineMillis, int bytes, T payload) {}
