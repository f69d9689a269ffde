package org.snipewind.protocol;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The values that both sides of a handshake know, from which the proofs and the session key follow.
 *
 * @param clientId member id of the side that opened the connection
 * @param serverId member id of the side that accepted it
 * @param clientNonce random bytes of the client
 * @param serverNonce random bytes of the server
 */
@SuppressWarnings("ArrayRecordComponent")
record Handshake(String clientId, String serverId, byte[] clientNonce, byte[] serverNonce) {

    static final int NONCE_BYTES = 32;

    /** Longest handshake frame, so that a stranger can't make the daemon buffer more. */
    static final int MAX_BYTES = 1024;

    private static final String ALGORITHM = "HmacSHA256";
    private static final String SERVER_LABEL = "snipewind server proof";
    private static final String CLIENT_LABEL = "snipewind client proof";
    private static final String SESSION_LABEL = "snipewind session key";
    private static final SecureRandom RANDOM = new SecureRandom();

    /** First message, from the client. */
    @SuppressWarnings("ArrayRecordComponent")
    record Hello(String memberId, byte[] nonce) {

        byte[] encode() {
            return new FieldWriter()
                    .arrayHeader(3)
                    .number(Frame.VERSION)
                    .text(memberId)
                    .bytes(nonce)
                    .toByteArray();
        }

        static Hello decode(byte[] bytes) {
            FieldReader in = reader("Hello", bytes, 3);
            int version = in.integer("version");
            if (version != Frame.VERSION) {
                throw in.failure("version", "is " + version + ", not " + Frame.VERSION);
            }
            Hello hello = new Hello(in.text("memberId"), readNonce(in));
            in.end();
            return hello;
        }
    }

    /** Second message, from the server, with its proof. */
    @SuppressWarnings("ArrayRecordComponent")
    record Challenge(String memberId, byte[] nonce, byte[] proof) {

        byte[] encode() {
            return new FieldWriter()
                    .arrayHeader(3)
                    .text(memberId)
                    .bytes(nonce)
                    .bytes(proof)
                    .toByteArray();
        }

        static Challenge decode(byte[] bytes) {
            FieldReader in = reader("Challenge", bytes, 3);
            Challenge challenge = new Challenge(in.text("memberId"), readNonce(in), in.bytes("proof"));
            in.end();
            return challenge;
        }
    }

    /** Third message, from the client, with its proof. */
    @SuppressWarnings("ArrayRecordComponent")
    record Proof(byte[] proof) {

        byte[] encode() {
            return new FieldWriter().arrayHeader(1).bytes(proof).toByteArray();
        }

        static Proof decode(byte[] bytes) {
            FieldReader in = reader("Proof", bytes, 1);
            Proof proof = new Proof(in.bytes("proof"));
            in.end();
            return proof;
        }
    }

    static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return nonce;
    }

    static Mac mac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from the Java runtime", e);
        }
    }

    byte[] serverProof(byte[] secret) {
        return derive(secret, SERVER_LABEL);
    }

    byte[] clientProof(byte[] secret) {
        return derive(secret, CLIENT_LABEL);
    }

    FrameSeal seal(byte[] secret, boolean client) {
        return new FrameSeal(derive(secret, SESSION_LABEL), client);
    }

    static boolean matches(byte[] expected, byte[] received) {
        return MessageDigest.isEqual(expected, received);
    }

    // The array encoding keeps ids and nonces apart, and the label keeps one side's proof from serving as the other's.
    private byte[] derive(byte[] secret, String label) {
        byte[] content = new FieldWriter()
                .arrayHeader(6)
                .text(label)
                .number(Frame.VERSION)
                .text(clientId)
                .text(serverId)
                .bytes(clientNonce)
                .bytes(serverNonce)
                .toByteArray();
        return mac(secret).doFinal(content);
    }

    private static FieldReader reader(String name, byte[] bytes, int fields) {
        FieldReader in = new FieldReader(name, bytes, bytes.length);
        if (in.arrayHeader("fields") != fields) {
            throw in.failure("fields", "does not have " + fields + " elements");
        }
        return in;
    }

    private static byte[] readNonce(FieldReader in) {
        byte[] nonce = in.bytes("nonce");
        if (nonce.length != NONCE_BYTES) {
            throw in.failure("nonce", "does not have " + NONCE_BYTES + " bytes");
        }
        return nonce;
    }
}
