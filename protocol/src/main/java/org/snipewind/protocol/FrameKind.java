package org.snipewind.protocol;

import java.util.Arrays;
import java.util.Optional;

/** Role of a frame in an exchange of messages. */
enum FrameKind {
    /** A message that expects an answer. */
    CALL(0),
    /** The answer to a call. */
    ANSWER(1),
    /** A message that has no answer. */
    ONE_WAY(2);

    private final int code;

    FrameKind(int code) {
        this.code = code;
    }

    /** Returns the number that identifies the kind on the wire. */
    int code() {
        return code;
    }

    static Optional<FrameKind> ofCode(int code) {
        return Arrays.stream(values()).filter(kind -> kind.code == code).findFirst();
    }
}
