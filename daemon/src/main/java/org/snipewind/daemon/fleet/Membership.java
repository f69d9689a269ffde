package org.snipewind.daemon.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.snipewind.coordination.fleet.FleetTransitions;
import org.snipewind.coordination.fleet.Member;
import org.snipewind.daemon.log.EventLog;
import org.snipewind.daemon.log.LogEvent;
import org.snipewind.daemon.record.RecordCache;
import org.snipewind.daemon.record.RecordDistributor;
import org.snipewind.daemon.record.RecordNames;
import org.snipewind.daemon.record.RecordType;
import org.snipewind.daemon.record.RecordUpdater;

/** Joins the fleet, fetches missing records and detects the removal of this daemon. */
public final class Membership {

    private final Member self;
    private final List<String> seeds;
    private final RecordCache records;
    private final RecordUpdater updater;
    private final RecordDistributor distributor;
    private final RoleRequirements requirements;
    private final Runnable onRemoved;
    private final EventLog log;
    private boolean joined;
    private boolean joining;
    private boolean leaving;

    /**
     * Creates the membership of a daemon that has not joined.
     *
     * @param self this daemon as a member
     * @param seeds addresses of peers from which records are fetched while the store does not respond
     * @param records records of this daemon
     * @param updater reads and writes records
     * @param distributor fetches records from peers
     * @param requirements roles that the configuration requires
     * @param onRemoved called once when this daemon detects that it was removed
     * @param log the event log
     */
    public Membership(
            Member self,
            List<String> seeds,
            RecordCache records,
            RecordUpdater updater,
            RecordDistributor distributor,
            RoleRequirements requirements,
            Runnable onRemoved,
            EventLog log) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.records = records;
        this.updater = updater;
        this.distributor = distributor;
        this.requirements = requirements;
        this.onRemoved = onRemoved;
        this.log = log;
    }

    /** Joins the fleet if this daemon has not joined, detects its removal, and fetches missing records. */
    public synchronized void run() {
        boolean member = records.fleet().member(self.id()).isPresent();
        if (member && !joined) {
            joined = true;
            log.write(
                    LogEvent.FLEET_JOINED,
                    self.id() + " at epoch " + records.fleet().epoch());
        } else if (!member && joined && !leaving) {
            leaving = true;
            log.write(
                    LogEvent.FLEET_REMOVED,
                    self.id() + " at epoch " + records.fleet().epoch());
            onRemoved.run();
        } else if (!member && !joined && !joining) {
            join();
        }
        fetchMissing();
    }

    /**
     * Leaves the fleet and hands over all roles in one write.
     *
     * @return completes when the effect of the write is known
     */
    public CompletableFuture<Boolean> leave() {
        synchronized (this) {
            leaving = true;
        }
        return updater.update(
                RecordType.FLEET,
                (current, writer) -> FleetTransitions.leave(current, self.id(), requirements.all(), writer));
    }

    private void join() {
        joining = true;
        updater.update(RecordType.FLEET, (current, writer) -> FleetTransitions.join(current, self, writer))
                .whenComplete((written, failure) -> finishJoin());
    }

    private synchronized void finishJoin() {
        joining = false;
    }

    private void fetchMissing() {
        if (records.configuration().isEmpty()) {
            fetchMissing(RecordNames.CONFIGURATION);
        }
        if (records.fleet().epoch() == 0) {
            fetchMissing(RecordNames.FLEET);
        }
        records.configuration()
                .ifPresent(revision -> revision.configuration().pools().forEach((pool, settings) -> {
                    if (settings.divided() && records.table(pool).version() == 0) {
                        fetchMissing(RecordNames.table(pool));
                    }
                }));
    }

    private void fetchMissing(String name) {
        updater.refresh(name).exceptionally(failure -> {
            if (!seeds.isEmpty()) {
                distributor.fetch(seeds.get(ThreadLocalRandom.current().nextInt(seeds.size())), name);
            }
            return null;
        });
    }
}
