package org.snipewind.router.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against late responses that hide the response behind them, and against sound responses that are taken for
 * merged ones.
 */
final class ResponseSplicingTest {

    private static final String RIGHT_HEAD =
            "HTTP/1.1 500 Status\r\nDate: today\r\nId: 2\r\nSigned: 2.1\r\nContent-Length: 4\r\n";
    private static final String RIGHT_BODY = "body";
    private static final String RIGHT = RIGHT_HEAD + "\r\n" + RIGHT_BODY;

    /** Late responses to the first request; all of their names and values are legal or common. */
    private static final List<String> LATE = List.of(
            "HTTP/1.1 200 Status\r\nNote : 1\r\nId: 1\r\nSigned: 1.1\r\nContent-Length: 4\r\n\r\nlate",
            "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\nContent-Length: 14\r\n\r\nlate and later",
            "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "5;x=1\r\nfirst\r\n0\r\nTrailer: 1\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: 1\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 4\r\n\r\n",
            "HTTP/1.0 200 Status\r\nId: 1\r\n\r\nlate");

    /** Guards against a status line that the decoder drops, since the name of a header is not followed by a colon. */
    @Test
    void aHeaderLineWithoutAColonDoesNotHideTheNextStatusLine() {
        for (String cut : List.of("Note ", "Note\t", "body of the first 20", "late and later")) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive("HTTP/1.1 200 Status\r\n" + cut + RIGHT);
            probe.checkOwnResponseOrFailure("cut behind '" + cut + "'", RIGHT_BODY);
        }
    }

    /** Guards against a caller that waits until its deadline, because the decoder ends with the protocol. */
    @Test
    void aSwitchOfProtocolsDoesNotHideTheNextResponse() {
        for (String headers : List.of("", "Upgrade: h2c\r\n", "Upgrade: websocket\r\n", "Id: 1\r\n")) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive("HTTP/1.1 101 Switching Protocols\r\n" + headers + "\r\n" + RIGHT);
            probe.checkOwnResponseOrFailure("101 with " + headers, RIGHT_BODY);
        }
    }

    /** Guards against late responses that are cut anywhere, one behind the other, and come in any packets. */
    @Property(tries = 5_000)
    void lateResponsesDoNotMixWithTheRightOne(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder stream = new StringBuilder();
        for (int count = random.nextInt(3); count >= 0; count--) {
            String late = LATE.get(random.nextInt(LATE.size()));
            stream.append(late, 0, random.nextInt(3) == 0 ? late.length() : 1 + random.nextInt(late.length()));
        }
        ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
        probe.receiveInPackets(stream + RIGHT, () -> 1 + random.nextInt(40));
        probe.checkOwnResponseOrFailure(stream.toString(), RIGHT_BODY);
    }

    /** Guards against sound responses that are refused because a header names a protocol (RFC 9110, 7.6.3). */
    @Test
    void aHeaderMayNameAProtocolAndAnAddress() {
        ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
        probe.receive(RIGHT_HEAD + "Via: HTTP/1.1 203.0.113.7\r\n\r\nbody");
        probe.checkOwnResponse("Via with an address", RIGHT_BODY);
    }

    /** Guards against requests that fail because the late response in front of theirs is chunked. */
    @Test
    void aWholeChunkedResponseToAnEarlierRequestIsSkipped() {
        ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
        probe.receive(LATE.get(2) + RIGHT);
        probe.checkOwnResponse("whole chunked response in front", RIGHT_BODY);
    }

    /** Guards against a head that is put together from the lines of two responses. */
    @Test
    void aHeadThatNamesTwoRequestsIsNoResponse() {
        ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
        probe.receive(RIGHT_HEAD + "Id: 1\r\n\r\nbody");
        assertThat(probe.response()).isEmpty();
        assertThat(probe.failure().orElseThrow().isPossiblySent()).isTrue();
    }

    /** Guards against connections that are reused after a late response that was cut in its body. */
    @Test
    void aLateResponseOnAnIdleConnectionThatIsCutInItsBodyIsReportedAsBrokenOff() {
        for (String late : List.of(LATE.get(0), LATE.get(1))) {
            for (int cut = late.indexOf("\r\n\r\n") + 4; cut < late.length(); cut++) {
                ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
                probe.receive(RIGHT);
                probe.receive(late.substring(0, cut));
                assertThat(probe.kinds()).containsExactly(UnsolicitedKind.BROKEN_OFF_RESPONSE);
            }
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive(RIGHT);
            probe.receive(late);
            assertThat(probe.kinds()).containsExactly(UnsolicitedKind.IDLE_CONNECTION);
        }
    }

    /** Guards against status lines that the decoder accepts but the search for a second response does not find. */
    @Test
    void anyStatusLineThatTheDecoderAcceptsIsFoundWithinAHead() {
        for (String statusLine : List.of("HTTP/1.1 600 Status", "HTTP/1.1  500 Status", "HTTP/1.1\t500 Status")) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive("HTTP/1.1 200 Sta" + RIGHT.replace("HTTP/1.1 500 Status", statusLine));
            assertWithMessage(statusLine + " behind a cut")
                    .that(probe.response())
                    .isEmpty();
            assertWithMessage(statusLine + " behind a cut")
                    .that(probe.failure())
                    .isPresent();
        }
    }

    /** Guards against connections that are still reused after a broken-off response has cost another one. */
    @Test
    void aResponseThatWasLostBehindACutOneIsReportedAsHidden() {
        String late = LATE.get(1);
        List<String> otherReports = new ArrayList<>();
        for (int cut = 1; cut < late.length(); cut++) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive(late.substring(0, cut) + RIGHT);
            probe.checkOwnResponseOrFailure("cut at " + cut, RIGHT_BODY);
            if (probe.failure().isPresent() && probe.kinds().stream().noneMatch(UnsolicitedKind::hidesNextResponse)) {
                otherReports.add("cut at " + cut + ": " + probe.kinds());
            }
        }
        assertThat(otherReports).isEmpty();
    }
}
