package org.snipewind.router.lead;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.snipewind.coordination.clock.MillisClock;
import org.snipewind.router.log.RouterEvent;
import org.snipewind.router.log.RouterEventLog;
import org.snipewind.router.state.LeaderRecord;

/**
 * The terms of former leaders that may act beside the present one, as they may not know of it. They are asked to end
 * their terms; those that don't respond act no longer than until their leases would have expired. Confined to the
 * control event loop.
 */
final class FormerTerms {

    /** Delay between requests to a former leader to end its term. */
    private static final long RETRY_DELAY_MILLIS = 200;

    private final EventLoop loop;
    private final MillisClock clock;
    private final RouterEventLog log;
    private final List<LeaderRecord> unconfirmed = new ArrayList<>();
    private TermEndRequester requester = formerLeader -> CompletableFuture.completedFuture(false);
    private Runnable onAllEnded = () -> {};
    private long untilMillis;

    FormerTerms(EventLoop loop, MillisClock clock, RouterEventLog log) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
    }

    void setCallbacks(TermEndRequester termEndRequester, Runnable allEnded) {
        requester = termEndRequester;
        onAllEnded = allEnded;
    }

    /** Returns the time until which former leaders may act if they don't confirm the ends of their terms. */
    long untilMillis() {
        return untilMillis;
    }

    /**
     * Sets the former leaders at the start of a term.
     *
     * @param former leaders whose leases were ended by others
     * @param leaseRequestedAtMillis time at which the lease of the term was requested; the former leases had ended
     */
    void onTermStart(List<LeaderRecord> former, long leaseRequestedAtMillis) {
        untilMillis = former.isEmpty() ? clock.nowMillis() : leaseRequestedAtMillis + LeaderTimes.LEASE_LIFETIME_MILLIS;
        unconfirmed.clear();
        unconfirmed.addAll(former);
    }

    /** Asks a former leader to end its term until it has confirmed that, as long as the present term lasts. */
    void requestEnd(LeaderRecord formerLeader, BooleanSupplier presentTermLasts) {
        requester.request(formerLeader).whenComplete((termEnded, failure) -> {
            if (!presentTermLasts.getAsBoolean() || clock.nowMillis() >= untilMillis) {
                return;
            }
            if (failure == null && termEnded) {
                log.write(
                        RouterEvent.FORMER_LEADER_ENDED,
                        () -> "former=" + formerLeader.member().name() + " earlier=" + (untilMillis - clock.nowMillis())
                                + "ms");
                unconfirmed.removeIf(formerLeader::isSameTerm);
                if (unconfirmed.isEmpty()) {
                    onAllEnded.run();
                }
            } else {
                loop.schedule(
                        () -> requestEnd(formerLeader, presentTermLasts), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }
}
