package org.snipewind.command;

import io.vavr.control.Either;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;

/** A client of the store and the daemons of a fleet, and the decoder of the store's records. */
interface FleetClient {

    /** Creates a client of the store at an address, given as host and port. */
    KeyValueStore connectStore(String address);

    /** Decodes the value of the store key {@code fleet}, or returns why it is invalid. */
    Either<String, FleetRecord> decodeFleetRecord(byte[] content);

    /** Decodes the value of a store key {@code assignment/POOL}, or returns why it is invalid. */
    Either<String, SliceTable> decodeSliceTable(byte[] content);

    /** Asks an instance where it would send a request, or returns why there is no explanation. */
    Either<ExplainFailure, String> explainRoute(String metricsAddress, RouteQuestion question);

    /** Reads the roll-outs as an instance of the router knows them, one line a pool, or returns why it could not. */
    Either<String, String> readRollouts(String instanceAddress);

    /** Reads the status of a daemon, or returns why it could not be read; takes a few seconds at most. */
    Either<String, DaemonStatus> readStatus(String operatorAddress);
}
