package org.snipewind.coordination.quota;

/** The figures that lender and borrowers must agree on. */
public final class QuotaRules {

    /** Share of a rate that is split evenly over the instances for good; the rest is lent by demand. */
    public static final double FIXED_SHARE = 0.4;

    /** Time for which a loan is valid, counted by the borrower from sending its report. */
    public static final long LOAN_MILLIS = 2_000;

    private QuotaRules() {}
}
