package org.snipewind.daemon.entry;

import java.util.Optional;
import org.snipewind.clients.configuration.DataCentreSettings;
import org.snipewind.clients.configuration.FleetConfiguration;
import org.snipewind.coordination.error.ErrorKind;
import org.snipewind.coordination.error.Refusal;
import org.snipewind.coordination.lease.MemberLease;
import org.snipewind.daemon.fleet.FleetTimes;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.StoreContact;

/** Tells whether this daemon may serve callers. */
public final class Readiness {

    private final String dataCentre;
    private final RecordCache records;
    private final StoreContact contact;
    private final MemberLease lease;
    private volatile boolean shuttingDown;

    /**
     * Creates a readiness check.
     *
     * @param dataCentre data centre of this daemon
     * @param records records of this daemon
     * @param contact newest contact with the store
     * @param lease lease of this daemon
     */
    public Readiness(String dataCentre, RecordCache records, StoreContact contact, MemberLease lease) {
        this.dataCentre = dataCentre;
        this.records = records;
        this.contact = contact;
        this.lease = lease;
    }

    /** Makes the daemon not ready; requests that still arrive are served until the end. */
    public void beginShutdown() {
        shuttingDown = true;
    }

    /**
     * Tells whether the balancer should send callers here.
     *
     * @return false while records are missing, in a data centre out of service and during shutdown
     */
    public boolean isReady() {
        return !shuttingDown
                && refusal().isEmpty()
                && records.configuration()
                        .map(revision -> isInService(revision.configuration()))
                        .orElse(false);
    }

    /**
     * Checks whether requests can be served at all.
     *
     * @return the reason why not, or empty
     */
    public Optional<Refusal> refusal() {
        if (records.configuration().isEmpty() || records.fleet().epoch() == 0 || isTableMissing()) {
            return Optional.of(Refusal.of(ErrorKind.NOT_READY, "configuration or assignments are not known yet"));
        }
        if (isConfigurationStale()) {
            return Optional.of(
                    Refusal.of(ErrorKind.CONFIGURATION_STALE, "can't tell whether the configuration is current"));
        }
        return Optional.empty();
    }

    /**
     * Tells whether the configuration may be outdated: no contact with the store is known, and without a majority of
     * the lease group it can't be told whether the store is down for all.
     *
     * @return true if the configuration may be outdated
     */
    public boolean isConfigurationStale() {
        return contact.ageMillis() > FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS
                && !lease.hasRecentMajorityContact(FleetTimes.MAX_STORE_CONTACT_AGE_MILLIS);
    }

    private boolean isTableMissing() {
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
