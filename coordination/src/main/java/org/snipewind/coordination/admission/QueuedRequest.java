package org.snipewind.coordination.admission;

/**
 * A request that waits for admission.
 *
 * @param <T> type of the work
 * @param id unique id of the request
 * @param organisation name of the organisation that pays for it
 * @param urgent whether it belongs to the urgent class
 * @param deadlineMillis reading of the clock after which an answer is of no use
 * @param bytes size of the request
 * @param payload what the caller of the queue needs to send it
 */
public record QueuedRequest<T>(
        String id, String organisation, boolean urgent, long deadlineMillis, int bytes, T payload) {}
