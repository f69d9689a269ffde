package org.snipewind.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Load: urgent requests beside uploads in a pool without room. Uploads have a long latency objective and could fill the
 * queues up to it; urgent requests have a short one.
 *
 * <p>Guards against urgent requests that are refused or late behind uploads, and against uploads that are not served at
 * all or are given up when they are nearly complete.
 */
final class UploadsBesideUrgentRequestsTest {

    private static final PoolModel.Kind INVOICE = new PoolModel.Kind("invoice", 1, 74, 537, 1_278);
    private static final PoolModel.Kind UPLOAD = new PoolModel.Kind("upload", 0, 112, 2_101, 3_139);
    private static final long NOW = 1_000_000;

    /** An urgent route whose objective is only four times its service time. */
    private static final PoolModel.Kind SHORT_INVOICE = new PoolModel.Kind("invoice", 1, 74, 300, 1_278);

    private static Map<String, PoolModel.Result> run(PoolModel.Kind urgent, boolean decides, int instances) {
        PoolModel model = new PoolModel(6, 2, instances, decides, 21);
        model.offer(urgent, 70, 0, 30_000);
        model.offer(UPLOAD, 110, 0, 30_000);
        return model.run();
    }

    @Test
    void urgentRequestsAreServedInTimeAndUploadsGiveWay() {
        for (int instances : new int[] {9, 80}) {
            Map<String, PoolModel.Result> results = run(INVOICE, true, instances);
            assertThat(results.get("invoice").inTimeShare()).isAtLeast(0.97);
            assertFairness(results);
        }
    }

    @Test
    void urgentRequestsWithAShortObjectiveFindShortQueues() {
        for (int instances : new int[] {9, 80}) {
            Map<String, PoolModel.Result> before = run(SHORT_INVOICE, false, instances);
            Map<String, PoolModel.Result> results = run(SHORT_INVOICE, true, instances);
            assertThat(before.get("invoice").inTimeShare()).isLessThan(0.3);
            assertThat(results.get("invoice").inTimeShare()).isAtLeast(0.6);
            assertFairness(results);
        }
    }

    /** Checks that urgent requests are not served less often than uploads, and uploads not less than their floor. */
    private static void assertFairness(Map<String, PoolModel.Result> results) {
        PoolModel.Result invoices = results.get("invoice");
        PoolModel.Result uploads = results.get("upload");
        double average = (invoices.inTime + invoices.late + uploads.inTime + uploads.late)
                / (double) (invoices.requests + uploads.requests);
        assertThat(uploads.servedShare()).isAtLeast(average / 4);
        assertThat(invoices.servedShare()).isAtLeast(uploads.servedShare() - 0.05);
    }

    /** Guards against a floor that is not kept when urgent requests alone fill the pool. */
    @Test
    void uploadsKeepAFloorWhenUrgentRequestsAloneFillThePool() {
        PoolModel model = new PoolModel(6, 2, 9, true, 22);
        model.offer(INVOICE, 220, 0, 30_000);
        model.offer(UPLOAD, 30, 0, 30_000);
        assertFairness(model.run());
    }

    @Test
    void uploadsTakeUnusedCapacityWhenNoUrgentRequestLacksRoom() {
        PoolAdmission pool = new PoolAdmission(() -> 0.5);
        AdmissionRequest upload = new AdmissionRequest("upload", 0, 2_101, 0, NOW, NOW + 3_139);
        QueueAllowance usual = pool.allowance(upload, () -> "", NOW);
        pool.onLackOfRoom(new AdmissionRequest("invoice", 1, 537, 0, NOW, NOW + 1_278), "", NOW);
        assertThat(pool.allowance(upload, () -> "", NOW).lengthFactor()).isLessThan(usual.lengthFactor());
        assertThat(pool.allowance(upload, () -> "", NOW).allowedMillis()).isLessThan(537.0);
        // The same request is used at the later time, so only the elapsed time differs.
        QueueAllowance later = pool.allowance(upload, () -> "", NOW + 10_000);
        assertThat(later.lengthFactor()).isEqualTo(usual.lengthFactor());
    }

    /** Guards against requests for one key's owner that yield because another owner is busy. */
    @Test
    void requestsForOtherTargetsDoNotYield() {
        PoolAdmission pool = new PoolAdmission(() -> 0.5);
        AdmissionRequest upload = new AdmissionRequest("upload", 0, 2_101, 0, NOW, NOW + 3_139);
        QueueAllowance usual = pool.allowance(upload, () -> "b", NOW);
        pool.onLackOfRoom(new AdmissionRequest("invoice", 1, 537, 0, NOW, NOW + 1_278), "a", NOW);
        assertThat(pool.allowance(upload, () -> "b", NOW)).isEqualTo(usual);
        assertThat(pool.allowance(upload, () -> "a", NOW)).isNotEqualTo(usual);
    }

    @Test
    void anUploadThatWaitsIsNotEvictedByUrgentRequests() {
        WaitingQueue<String> queue = new WaitingQueue<>(2);
        assertThat(queue.offer("upload", "", new RequestOrder(0, CallerStanding.NEW, NOW), NOW + 100))
                .isTrue();
        assertThat(queue.offer("invoice", "", new RequestOrder(1, CallerStanding.NEW, NOW), NOW + 100))
                .isTrue();
        assertThat(queue.offer("invoice 2", "", new RequestOrder(1, CallerStanding.NEW, NOW), NOW + 100))
                .isFalse();
        List<String> sent = new ArrayList<>();
        queue.lookAgain(NOW, Optional.empty(), sent::add, ended -> {
            throw new AssertionError(ended);
        });
        assertThat(sent).containsExactly("invoice", "upload").inOrder();
    }
}
