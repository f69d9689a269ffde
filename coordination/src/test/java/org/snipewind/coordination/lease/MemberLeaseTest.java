package org.snipewind.coordination.lease;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.clock.ManualMillisClock;

final class MemberLeaseTest {

    private final ManualMillisClock clock = new ManualMillisClock(-5_000);
    private final MemberLease lease = new MemberLease(clock, 900);

    // Guards against a paused process that acts in its role when it resumes, and against a lease that counts from the
    // arrival of the acknowledgement rather than from the sending of the heartbeat.
    @Test
    void pauseLongerThanTheLeaseEndsItAndLateAcknowledgementsDoNotExtendIt() {
        lease.setGroups(List.of("a", "b", "c"), Optional.empty());
        long sequence = lease.nextHeartbeatSequence();
        lease.onAcknowledgement("a", sequence);
        assertThat(lease.isValid()).isFalse();
        lease.onAcknowledgement("b", sequence);
        assertThat(lease.validUntilMillis()).isEqualTo(-4_100);
        clock.advance(899);
        assertThat(lease.isValid()).isTrue();
        clock.advance(1);
        assertThat(lease.isValid()).isFalse();
        lease.onAcknowledgement("c", sequence);
        assertThat(lease.isValid()).isFalse();
        assertThat(lease.hasRecentMajorityContact(1_000)).isTrue();
    }

    // Guards against a lease that is acknowledged by only one of the two groups that may be stored.
    @Test
    void pendingChangeNeedsMajorityOfBothGroups() {
        lease.setGroups(List.of("a"), Optional.of(List.of("b", "c", "d")));
        long sequence = lease.nextHeartbeatSequence();
        lease.onAcknowledgement("b", sequence);
        lease.onAcknowledgement("c", sequence);
        assertThat(lease.isValid()).isFalse();
        lease.onAcknowledgement("a", sequence);
        assertThat(lease.isValid()).isTrue();
        lease.setGroups(List.of("a", "e", "f"), Optional.empty());
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void emptyGroupIsValidForEverButNotBeforeItIsSet() {
        assertThat(lease.isValid()).isFalse();
        lease.setGroups(List.of(), Optional.empty());
        assertThat(lease.validUntilMillis()).isEqualTo(Long.MAX_VALUE);
        lease.setGroups(List.of(), Optional.of(List.of("a")));
        assertThat(lease.isValid()).isFalse();
    }

    // Guards against a removed or expired holder that is acknowledged again, also after the witness stopped tracking
    // it.
    @Test
    void witnessThatConfirmedNeverAcknowledgesAgain() {
        LeaseWitness witness = new LeaseWitness(clock, 950);
        assertThat(witness.acknowledge("h")).isFalse();
        witness.track("h");
        clock.advance(949);
        assertThat(witness.confirmExpired("h")).isFalse();
        assertThat(witness.acknowledge("h")).isTrue();
        clock.advance(950);
        assertThat(witness.millisSinceAcknowledgement("h")).hasValue(950);
        assertThat(witness.confirmExpired("h")).isTrue();
        witness.retainHolders(Set.of());
        witness.track("h");
        assertThat(witness.acknowledge("h")).isFalse();
        assertThat(witness.confirmExpired("h")).isTrue();
    }
}
