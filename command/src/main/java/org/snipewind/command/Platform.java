package org.snipewind.command;

import io.vavr.control.Either;
import org.snipewind.clients.status.DaemonStatus;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.coordination.fleet.FleetRecord;
import org.snipewind.coordination.ownership.SliceTable;

/** What the command needs from the platform and from the daemons. */
interface Platform {

    /** Connects to the store at an address of host and port. */
    KeyValueStore connect(String address);

    /** Decodes the value of the store key {@code fleet}. */
    Either<String, FleetRecord> decodeFleet(byte[] content);

    /** Decodes the value of the store key {@code assignment/POOL}. */
    Either<String, SliceTable> decodeSliceTable(byte[] content);

    /** Asks a daemon for its status; it returns within a few seconds. */
    Either<String, DaemonStatus> status(String operatorAddress);
}
