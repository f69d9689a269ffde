package org.snipewind.coordination.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.budget.TokenCache;
import org.snipewind.coordination.budget.TokenGrant;
import org.snipewind.coordination.budget.TokenIssuer;
import org.snipewind.coordination.clock.ManualMillisClock;
import org.snipewind.coordination.routing.Organisation;

/**
 * Load patterns: callers of one organisation are spread over all instances, so that each sees only few of its requests;
 * one organisation sends eight times its rate; a burst of 1.7 times the usual load. Guards against wrongful refusals by
 * tokens that expire unused and by parts of a rate that lie at the wrong instance, and against work above a limit.
 */
final class SpreadCallersTest {

    private static final int SECONDS = 30;

    /** The users' target for requests that are refused although they are within the rate. */
    private static final double WRONGFUL_REFUSALS = 0.001;

    private final ManualMillisClock clock = new ManualMillisClock(1_000);
    private final Random random = new Random(7);

    /**
     * What became of the requests of a run.
     *
     * @param refusedPart part of the requests that were refused
     * @param largestExcess most requests that ran above the rate at any time, counted as the level of a bucket that
     *     drains at the rate
     */
    private record Result(double refusedPart, double largestExcess) {}

    private double refusedPart(int fleetSize, double rate, double demandPart, boolean keeperPresent) {
        return run(fleetSize, rate, demandPart, keeperPresent).refusedPart();
    }

    private Result run(int fleetSize, double rate, double demandPart, boolean keeperPresent) {
        Organisation organisation = new Organisation("north", List.of(), rate, rate);
        double keptRate = QuotaSplit.centralRatePerSecond(organisation, fleetSize);
        int keptBurst = QuotaSplit.centralBurst(organisation, fleetSize);
        TokenIssuer keeper =
                new TokenIssuer(clock, keptRate, keptBurst, clock.nowMillis(), true, QuotaSplit.TOKEN_LIFETIME_MILLIS);
        List<TokenCache> accounts = new ArrayList<>();
        List<FixedShare> shares = new ArrayList<>();
        for (int instance = 0; instance < fleetSize; instance++) {
            TokenCache account = new TokenCache(clock, QuotaSplit.TOKEN_LIFETIME_MILLIS);
            account.configure(keptRate, keptBurst);
            accounts.add(account);
            FixedShare share = new FixedShare(clock, clock.nowMillis());
            share.configure(organisation, fleetSize);
            shares.add(share);
        }
        int sent = 0;
        int refused = 0;
        double level = 0;
        double largestExcess = 0;
        for (int milli = 0; milli < SECONDS * 1_000; milli++) {
            clock.advance(1);
            level = Math.max(0, level - rate / 1_000);
            if (random.nextDouble() >= rate * demandPart / 1_000) {
                continue;
            }
            sent++;
            int instance = random.nextInt(fleetSize);
            boolean served = shares.get(instance).tryAcquire();
            if (!served && keeperPresent) {
                served = useToken(accounts.get(instance), keeper);
            }
            refused += served ? 0 : 1;
            level += served ? 1 : 0;
            largestExcess = Math.max(largestExcess, level);
        }
        return new Result(refused / (double) sent, largestExcess);
    }

    private boolean useToken(TokenCache account, TokenIssuer keeper) {
        if (account.tryAcquire()) {
            return true;
        }
        int wanted = account.tokensToRequest(1);
        if (wanted == 0) {
            return false;
        }
        long call = account.onRequestSent(clock.nowMillis());
        TokenGrant decision = keeper.issue(wanted);
        account.onGranted(call, decision.tokens(), decision.retryAfterMillis());
        return account.tryAcquire();
    }

    @Test
    void anOrganisationBelowItsRateIsNotRefusedInASmallFleet() {
        assertThat(refusedPart(9, 49, 0.625, true)).isAtMost(WRONGFUL_REFUSALS);
        assertThat(refusedPart(9, 205, 0.625, true)).isAtMost(WRONGFUL_REFUSALS);
    }

    @Test
    void anOrganisationBelowItsRateIsNotRefusedIfEachInstanceSeesHardlyAnyOfItsRequests() {
        for (double rate : List.of(15.0, 30.0, 60.0, 200.0)) {
            assertWithMessage("rate " + rate)
                    .that(refusedPart(84, rate, 0.625, true))
                    .isAtMost(WRONGFUL_REFUSALS);
        }
    }

    @Test
    void anOrganisationAtEightTimesItsRateIsHeldToRateAndBurstAtAnyTime() {
        for (int fleetSize : List.of(1, 9, 84)) {
            for (double rate : List.of(15.0, 49.0, 120.0)) {
                Result result = run(fleetSize, rate, 8, true);
                assertWithMessage("rate %s at %s instances", rate, fleetSize)
                        .that(result.largestExcess())
                        .isAtMost(rate);
                // Seven of eight requests are above the rate; the burst of the start is served on top of it.
                assertThat(result.refusedPart()).isAtMost(0.95);
            }
        }
    }

    @Test
    void aBurstOfSeventeenTenthsOfTheUsualLoadIsServedFromTheBurst() {
        // The usual load is five eighths of the rate, so the burst is 1.06 times the rate.
        for (int fleetSize : List.of(9, 84)) {
            assertWithMessage("%s instances", fleetSize)
                    .that(refusedPart(fleetSize, 120, 1.7 * 0.625, true))
                    .isAtMost(0.07);
        }
    }

    @Test
    void mostRequestsAreServedWhileThereIsNoKeeper() {
        // The fixed part is three fifths of the rate and the demand five eighths of it.
        assertThat(refusedPart(9, 49, 0.625, false)).isAtMost(0.4);
        assertThat(refusedPart(9, 205, 0.625, false)).isAtMost(0.25);
    }

    @Test
    void aProcessThatStartsHasTheTokensOfTheTimeSinceItsStartAndNoMore() {
        Organisation organisation = new Organisation("north", List.of(), 90, 90);
        long startedAt = clock.nowMillis();
        clock.advance(500);
        FixedShare share = new FixedShare(clock, startedAt);
        share.configure(organisation, 9);
        int tokens = 0;
        while (share.tryAcquire()) {
            tokens++;
        }
        // Three fifths of 90 a second over nine instances, for half a second.
        assertThat(tokens).isEqualTo(3);
    }

    @Test
    void theFixedPartsOfAllInstancesStayWithinTheBurst() {
        for (int fleetSize : List.of(1, 9, 84, 1_900)) {
            for (double burst : List.of(1.0, 14.0, 49.0, 205.0, 5_000.0)) {
                Organisation organisation = new Organisation("north", List.of(), burst, burst);
                int atOnce = 0;
                for (int instance = 0; instance < fleetSize; instance++) {
                    FixedShare share = new FixedShare(clock, clock.nowMillis());
                    share.configure(organisation, fleetSize);
                    clock.advance(60_000);
                    while (share.tryAcquire()) {
                        atOnce++;
                    }
                }
                assertThat((double) atOnce + QuotaSplit.centralBurst(organisation, fleetSize))
                        .isAtMost(burst);
            }
        }
    }
}
