package org.snipewind.router.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a response that is put together from two: the beginning of a late second response to the first request
 * of a connection, cut anywhere, and the response to its second request.
 */
final class ResponseAttributionTest {

    private static final List<Integer> PACKET_BYTES = List.of(1, 7, 64, 10_000);

    /** Second responses to the first request; none of them is one to the second request. */
    private static final Map<String, String> SECOND_RESPONSES = Map.of(
            "with length",
            "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\nContent-Length: 20\r\n\r\nbody of the first 20",
            "with a longer body than the right response",
            "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\nContent-Length: 400\r\n\r\n" + "x".repeat(400),
            "with the id behind the length",
            "HTTP/1.1 200 Status\r\nContent-Length: 20\r\nSigned: 1.1\r\nId: 1\r\n\r\nbody of the first 20",
            "chunked",
            "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "5;x=1\r\nfirst\r\n1e\r\n" + "y".repeat(30) + "\r\n0\r\nTrailer: 1\r\n\r\n",
            "without length",
            "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\n\r\nbody of the first 20",
            "without id",
            "HTTP/1.1 200 Status\r\nSigned: 1.1\r\nContent-Length: 20\r\n\r\nbody of the first 20",
            "after an interim response",
            "HTTP/1.1 103 Early\r\nLink: 1\r\n\r\n"
                    + "HTTP/1.1 200 Status\r\nId: 1\r\nSigned: 1.1\r\nContent-Length: 2\r\n\r\nab",
            "with a header line that ends in a space before its colon",
            "HTTP/1.1 200 Status\r\nId: 1\r\nX-Note : 1\r\nSigned: 1.1\r\nContent-Length: 2\r\n\r\nab",
            "with a folded header",
            "HTTP/1.1 200 Status\r\nId: 1\r\nFolded: 1\r\n 2\r\nSigned: 1.1\r\nContent-Length: 2\r\n\r\nab");

    private static final String RIGHT_BODY = "body of the second 21";

    private static final String RIGHT = "HTTP/1.1 500 Status\r\nDate: today\r\nId: 2\r\nSigned: 2.1\r\n"
            + "Content-Length: 21\r\n\r\n" + RIGHT_BODY;

    /** A second response to the second request, with another status. */
    private static final String COPY_OF_RIGHT = RIGHT.replace("500", "201").replace("2.1", "2.2");

    @Test
    void bytesBehindAResponseEndItsConnection() {
        SECOND_RESPONSES.forEach((name, second) -> {
            for (int cut = 1; cut <= second.length(); cut++) {
                ConnectionProbe probe = new ConnectionProbe(second.substring(0, cut));
                assertWithMessage(name + " cut at " + cut)
                        .that(probe.isReusable())
                        .isFalse();
                assertThat(probe.isOpen()).isFalse();
            }
        });
    }

    @Test
    void bytesOnAnIdleConnectionEndItAlsoIfTheyAreNoWholeResponse() {
        SECOND_RESPONSES.forEach((name, second) -> {
            for (int cut = 1; cut <= second.length(); cut++) {
                ConnectionProbe probe = new ConnectionProbe("");
                assertThat(probe.isReusable()).isTrue();
                probe.receive(second.substring(0, cut));
                assertWithMessage(name + " cut at " + cut)
                        .that(probe.isReusable())
                        .isFalse();
                assertThat(probe.isOpen()).isFalse();
            }
        });
    }

    @Test
    void aResponseCutInItsHeadIsNotReadAsTheBeginningOfTheNextResponse() {
        SECOND_RESPONSES.forEach((name, second) -> receiveCutAndRightResponse(name, second, 1, bodyStart(second) - 1));
    }

    @Test
    void aResponseCutInItsBodyDoesNotHideTheNextResponseNorLeadToACopyOfIt() {
        SECOND_RESPONSES.forEach(
                (name, second) -> receiveCutAndRightResponse(name, second, bodyStart(second), second.length()));
    }

    private static int bodyStart(String response) {
        return response.indexOf("\r\n\r\n", response.lastIndexOf("HTTP/1.1")) + 4;
    }

    private static void receiveCutAndRightResponse(String name, String second, int firstCut, int lastCut) {
        for (int cut = firstCut; cut <= lastCut; cut++) {
            for (int packetBytes : PACKET_BYTES) {
                ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
                probe.receiveInPackets(second.substring(0, cut) + RIGHT + COPY_OF_RIGHT, () -> packetBytes);
                probe.checkOwnResponseOrFailure(name + " cut at " + cut + " in packets of " + packetBytes, RIGHT_BODY);
            }
        }
    }

    /** Guards against a body whose end is the beginning of a second response to the same request. */
    @Test
    void aBodyThatIsContinuedByAnotherResponseIsNotWhole() {
        int bodyStart = bodyStart(RIGHT);
        for (int cut = bodyStart; cut < RIGHT.length(); cut++) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive(RIGHT.substring(0, cut) + COPY_OF_RIGHT);
            probe.checkOwnResponseOrFailure("cut at " + cut, RIGHT_BODY);
        }
    }

    /** Guards against a second response that is taken for the end of a body without length. */
    @Test
    void aBodyWithoutLengthEndsBeforeTheNextResponse() {
        for (int packetBytes : PACKET_BYTES) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receiveInPackets(RIGHT.replace("Content-Length: 21\r\n", "") + COPY_OF_RIGHT, () -> packetBytes);
            probe.close();
            probe.checkOwnResponseOrFailure("in packets of " + packetBytes, RIGHT_BODY);
        }
    }

    /** Guards against a rule that is too strict: a body may quote a response, and a target may send bytes behind it. */
    @Test
    void aBodyThatQuotesAResponseIsDelivered() {
        String quoting = RIGHT.replace("Content-Length: 21\r\n\r\nbody of the second 21", "Content-Length: 15\r\n\r\n")
                + "HTTP/1.1 200 OK";
        for (String behind : List.of("", COPY_OF_RIGHT)) {
            ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
            probe.receive(quoting + behind);
            assertThat(new String(probe.response().orElseThrow().body(), StandardCharsets.ISO_8859_1))
                    .isEqualTo("HTTP/1.1 200 OK");
        }
    }

    /** Guards against an exchange that waits until its deadline, since nothing is decoded after such a response. */
    @Test
    void aResponseThatSwitchesTheProtocolEndsTheExchange() {
        ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
        probe.receive("HTTP/1.1 101 Switching Protocols\r\n\r\n" + RIGHT);
        probe.checkOwnResponseOrFailure("after 101", RIGHT_BODY);
    }

    /** Guards against a rule that is too strict: headers may name a protocol. */
    @Test
    void aHeaderThatNamesAProtocolIsNoSecondStatusLine() {
        ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
        probe.receive(RIGHT.replace("Date: today", "Via: HTTP/1.1 203.0.113.7"));
        probe.checkOwnResponseOrFailure("with Via", RIGHT_BODY);
        assertThat(probe.response()).isPresent();
    }

    /** Guards against a rule that is too strict: targets may send a second response late, and the next one is whole. */
    @Test
    void aWholeResponseToAnEarlierRequestIsSkipped() {
        for (int packetBytes : PACKET_BYTES) {
            for (String name : List.of("with length", "chunked", "without id", "after an interim response")) {
                ConnectionProbe probe = ConnectionProbe.awaitingSecondResponse();
                probe.receiveInPackets(SECOND_RESPONSES.get(name) + RIGHT, () -> packetBytes);
                probe.checkOwnResponseOrFailure(name + " in packets of " + packetBytes, RIGHT_BODY);
                assertThat(probe.response()).isPresent();
            }
        }
    }
}
