package org.snipewind.daemon.entry;

import java.util.Optional;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.coordination.admission.ShutdownSchedule;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.fleet.FleetTimes;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.StoreContact;

/** Determines whether this daemon can serve callers. */
public final class Readiness {

    private final String dataCentre;
    private final RecordCache records;
    private final StoreContact contact;
    private final MemberLease lease;
    private volatile Optional<ShutdownSchedule> shutdown = Optional.empty();
    private volatile boolean serviceEnded;

    /**
     * Creates a readiness check.
     *
     * @param dataCentre data centre of this daemon
     * @param records records of this daemon
     * @param contact age of the newest contact with the store
     * @param lease lease of this daemon
     */
    public Readiness(String dataCentre, RecordCache records, StoreContact contact, MemberLease lease) {
        this.dataCentre = dataCentre;
        this.records = records;
        this.contact = contact;
        this.lease = lease;
    }

    /**
     * Makes the daemon not ready. Requests that still arrive are served as far as they end before the daemon does.
     *
     * @param schedule times of the shutdown
     */
    public void beginShutdown(ShutdownSchedule schedule) {
        shutdown = Optional.of(schedule);
    }

    /** Refuses all further requests, since the daemon has given up roles that nobody takes over. */
    public void endService() {
        serviceEnded = true;
    }

    /** Returns whether a request may start that may take until its deadline. */
    boolean mayStart(long nowMillis, long deadlineMillis) {
        return !serviceEnded
                && shutdown.map(schedule -> schedule.mayStart(nowMillis, deadlineMillis - nowMillis))
                        .orElse(true);
    }

    /**
     * Returns whether the load balancer should send callers to this daemon.
     *
     * @return false while requests are refused, while the data centre is out of service, and during shutdown
     */
    public boolean isReady() {
        return shutdown.isEmpty()
                && refusal().isEmpty()
                && records.configuration()
                        .map(revision -> isInService(revision.configuration()))
                        .orElse(false);
    }

    /**
     * Checks whether requests can be served at all.
     *
     * @return the refusal of all requests, or empty if they can be served
     */
    public Optional<Refusal> refusal() {
        if (records.configuration().isEmpty() || records.fleet().epoch() == 0 || isSliceTableMissing()) {
            return Optional.of(Refusal.of(ErrorKind.NOT_READY, "configuration or assignments are not known yet"));
        }
        if (isConfigurationStale()) {
            return Optional.of(
                    Refusal.of(ErrorKind.CONFIGURATION_STALE, "can't tell whether the configuration is current"));
        }
        return Optional.empty();
    }

    /**
     * Returns whether the configuration may be outdated: no recent contact of this daemon or a peer with the store is
     * known, and without a majority of the lease group it is not known whether the store is down for all daemons.
     *
     * @return true if the configuration may be outdated
     */
    public boolean isConfigurationStale() {
        return contact.ageMillis() > FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS
                && !lease.hasRecentMajorityContact(FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS);
    }

    private boolean isSliceTableMissing() {
        return records.configuration()
                .map(revision -> revision.configuration().pools().entrySet().stream()
                        .anyMatch(pool -> pool.getValue().divided()
                                && records.table(pool.getKey()).version() == 0))
                .orElse(true);
    }

    private boolean isInService(FleetConfiguration configuration) {
        DataCentreSettings settings = configuration.dataCentres().get(dataCentre);
        return settings == null || settings.inService();
    }
}
