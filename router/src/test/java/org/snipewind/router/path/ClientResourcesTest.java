package org.snipewind.router.path;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against limits that refuse the longest permitted body, or leave no descriptors for targets. */
final class ClientResourcesTest {

    private static final long MEGABYTE = 1024 * 1024;

    /** What a runtime with a heap of 96 MB reports, as it does not count a part of the young generation. */
    private static final long HEAP_BYTES = 92 * MEGABYTE;

    private static final long LONGEST_BODY_BYTES = 64 * MEGABYTE;

    @Test
    void theSmallestMachineHoldsOneBodyOfTheLongestPermittedLength() {
        ClientResources resources = ClientResources.of(290 * MEGABYTE, HEAP_BYTES, 1_024);
        assertThat(resources.largeBodies().mayHold(LONGEST_BODY_BYTES)).isTrue();
        assertThat(resources.largeBodies().mayHold(2 * LONGEST_BODY_BYTES)).isFalse();
    }

    @Test
    void aMachineWithoutMemoryBesideTheHeapHoldsNoBodyOutsideIt() {
        ClientResources resources = ClientResources.of(HEAP_BYTES, HEAP_BYTES, 1_024);
        assertThat(resources.largeBodies().mayHold(1)).isFalse();
    }

    @Test
    void callersGetHalfOfTheDescriptorsAndNoMoreConnectionsThanTheHeapHolds() {
        assertThat(ClientResources.of(290 * MEGABYTE, HEAP_BYTES, 1_024).maxConnections())
                .isEqualTo(512);
        assertThat(ClientResources.of(290 * MEGABYTE, HEAP_BYTES, 1_000_000).maxConnections())
                .isEqualTo(92 * 64);
    }
}
