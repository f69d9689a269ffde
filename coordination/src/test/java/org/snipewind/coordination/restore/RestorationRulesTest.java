package org.snipewind.coordination.restore;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against positions and epochs that do not rise with the eras of the store, or change without an era. */
final class RestorationRulesTest {

    private static final long MAX_REVISION = (1L << 40) - 1;

    /** Integers up to this one are exact as numbers of JSON. */
    private static final long MAX_JSON_INTEGER = (1L << 53) - 1;

    @Property(tries = 500)
    void positionsAreOrderedByEraAndThenByRevision(
            @ForAll @LongRange(max = StorePosition.MAX_ERA) long era,
            @ForAll @LongRange(max = MAX_REVISION) long revision,
            @ForAll @LongRange(max = StorePosition.MAX_ERA) long otherEra,
            @ForAll @LongRange(max = MAX_REVISION) long otherRevision) {
        long position = StorePosition.of(era, revision);
        long other = StorePosition.of(otherEra, otherRevision);
        assertThat(StorePosition.eraOf(position)).isEqualTo(era);
        assertThat(StorePosition.revisionOf(position)).isEqualTo(revision);
        assertThat(StorePosition.isOfEarlierEra(position, other)).isEqualTo(era < otherEra);
        int expected = era == otherEra ? Long.compare(revision, otherRevision) : Long.compare(era, otherEra);
        assertThat(Integer.signum(Long.compare(position, other))).isEqualTo(expected);
        assertThat(position).isAtMost(MAX_JSON_INTEGER);
    }

    @Test
    void withoutARestorationNumbersStayAsTheyAre() {
        assertThat(StorePosition.of(0, 4_711)).isEqualTo(4_711);
        assertThat(RestorationRules.nextEpoch(4_711, 0)).isEqualTo(4_712);
        assertThat(RestorationRules.earlierRightsEndMillis(OptionalLong.empty(), 8_000))
                .isEqualTo(Long.MIN_VALUE);
        assertThat(RestorationRules.keepsKnownTable(9, 5, 0, 5)).isFalse();
    }

    @Test
    void numbersThatDoNotFitAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> StorePosition.of(StorePosition.MAX_ERA + 1, 1));
        assertThrows(IllegalArgumentException.class, () -> StorePosition.of(1, MAX_REVISION + 1));
        assertThrows(IllegalArgumentException.class, () -> StorePosition.of(1, -1));
    }

    @Test
    void epochsOfAnEraAreAboveAllOfTheErasBefore() {
        long lostEpoch = StorePosition.of(1, 500);
        assertThat(RestorationRules.nextEpoch(StorePosition.of(1, 400), 2)).isGreaterThan(lostEpoch);
        assertThat(RestorationRules.nextEpoch(StorePosition.of(2, 400), 2)).isEqualTo(StorePosition.of(2, 401));
    }

    @Test
    void rightsOfAnEarlierEraEndTheirLongestTimeAfterTheEraIsLearnt() {
        assertThat(RestorationRules.earlierRightsEndMillis(OptionalLong.of(1_000), 7_620))
                .isEqualTo(8_620);
    }

    @Test
    void aTableOfTheCopyGivesWayToALaterOneAndATableOfThePresentEraNever() {
        long position = StorePosition.of(1, 5);
        assertThat(RestorationRules.keepsKnownTable(9, 5, 0, position)).isTrue();
        assertThat(RestorationRules.keepsKnownTable(5, 5, 0, position)).isFalse();
        assertThat(RestorationRules.keepsKnownTable(9, 5, 1, position)).isFalse();
    }
}
