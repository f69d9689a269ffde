package org.snipewind.coordination.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.snipewind.coordination.clock.MillisClock;

/** Lends the parts of one organisation's rate that are not fixed; used by one thread. */
public final class RateLender {

    /** Demand is met with this much room, so that a short wave needs no new loan. */
    private static final double HEADROOM = 1.25;

    /** Loans count this much longer than their borrowers use them, for clocks that run at different speeds. */
    private static final long MARGIN_MILLIS = 200;

    private record Loan(double perSecond, long untilMillis) {}

    private record Demand(double perSecond, long atMillis) {}

    private final MillisClock clock;
    private final Map<String, Deque<Loan>> loans = new HashMap<>();
    private final Map<String, Demand> demands = new HashMap<>();
    private double ratePerSecond;

    /**
     * Creates a lender without loans.
     *
     * @param clock the clock of the loans
     */
    public RateLender(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Sets the organisation's rate.
     *
     * @param perSecond requests a second over the whole fleet
     */
    public void setRate(double perSecond) {
        ratePerSecond = perSecond;
    }

    /**
     * Notes a loan that another lender gave.
     *
     * @param borrower name of the borrower
     * @param perSecond lent part of the rate
     */
    public void noteHeld(String borrower, double perSecond) {
        if (perSecond > outstanding(borrower)) {
            remember(borrower, perSecond);
        }
    }

    /**
     * Lends a part in place of the borrower's present loan.
     *
     * @param borrower name of the borrower
     * @param demandPerSecond requests a second that it gets
     * @param fixedPerSecond its fixed part of the rate
     * @return lent part of the rate
     */
    public double lend(String borrower, double demandPerSecond, double fixedPerSecond) {
        long now = clock.nowMillis();
        demands.put(borrower, new Demand(Math.max(0, demandPerSecond * HEADROOM - fixedPerSecond), now));
        demands.values().removeIf(demand -> now - demand.atMillis() > QuotaRules.LOAN_MILLIS);
        loans.values().forEach(each -> each.removeIf(loan -> loan.untilMillis() <= now));
        double lendable = ratePerSecond * (1 - QuotaRules.FIXED_SHARE);
        double demanded =
                demands.values().stream().mapToDouble(Demand::perSecond).sum();
        double wanted = demands.get(borrower).perSecond();
        double fair = demanded <= lendable ? wanted : wanted * lendable / demanded;
        double outstanding = loans.keySet().stream()
                .filter(other -> !other.equals(borrower))
                .mapToDouble(this::outstanding)
                .sum();
        double granted = Math.max(0, Math.min(fair, lendable - outstanding));
        remember(borrower, granted);
        return granted;
    }

    /** A borrower that misses an answer goes on with an older loan, so the largest that has not ended counts. */
    private double outstanding(String borrower) {
        return loans.getOrDefault(borrower, new ArrayDeque<>()).stream()
                .mapToDouble(Loan::perSecond)
                .max()
                .orElse(0);
    }

    private void remember(String borrower, double perSecond) {
        long until = clock.nowMillis() + QuotaRules.LOAN_MILLIS + MARGIN_MILLIS;
        loans.computeIfAbsent(borrower, name -> new ArrayDeque<>()).addLast(new Loan(perSecond, until));
    }
}
