package org.snipewind.protocol;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The values that both sides of a handshake know. The proofs and the session key are derived from them and the shared
 * secret.
 *
 * @param clientId member id of the side that opened the connection
 * @param serverId member id of the side that accepted it
 * @param clientNonce random bytes drawn by the client
 * @param serverNonce random bytes drawn by the server
 */
@SuppressWarnings("ArrayRecordComponent")
record Handshake(String clientId, String serverId, byte[] clientNonce, byte[] serverNonce) {

    static final int NONCE_BYTES = 32;

    /** Longest handshake message, which limits what an unauthenticated client can make this process buffer. */
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
                    .writeArrayHeader(3)
                    .writeLong(Frame.VERSION)
                    .writeString(memberId)
                    .writeBytes(nonce)
                    .toByteArray();
        }

        static Hello decode(byte[] bytes) {
            FieldReader in = newReader("Hello", bytes, 3);
            int version = in.readInt("version");
            if (version != Frame.VERSION) {
                throw in.failure("version", "is " + version + ", not " + Frame.VERSION);
            }
            Hello hello = new Hello(in.readString("memberId"), readNonce(in));
            in.requireEnd();
            return hello;
        }
    }

    /** Second message, from the server, with the proof that it knows the secret. */
    @SuppressWarnings("ArrayRecordComponent")
    record Challenge(String memberId, byte[] nonce, byte[] proof) {

        byte[] encode() {
            return new FieldWriter()
                    .writeArrayHeader(3)
                    .writeString(memberId)
                    .writeBytes(nonce)
                    .writeBytes(proof)
                    .toByteArray();
        }

        static Challenge decode(byte[] bytes) {
            FieldReader in = newReader("Challenge", bytes, 3);
            Challenge challenge = new Challenge(in.readString("memberId"), readNonce(in), in.readBytes("proof"));
            in.requireEnd();
            return challenge;
        }
    }

    /** Third message, from the client, with the proof that it knows the secret. */
    @SuppressWarnings("ArrayRecordComponent")
    record Proof(byte[] proof) {

        byte[] encode() {
            return new FieldWriter().writeArrayHeader(1).writeBytes(proof).toByteArray();
        }

        static Proof decode(byte[] bytes) {
            FieldReader in = newReader("Proof", bytes, 1);
            Proof proof = new Proof(in.readBytes("proof"));
            in.requireEnd();
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
        return deriveHmac(secret, SERVER_LABEL);
    }

    byte[] clientProof(byte[] secret) {
        return deriveHmac(secret, CLIENT_LABEL);
    }

    FrameAuthenticator newFrameAuthenticator(byte[] secret, boolean isClient) {
        return new FrameAuthenticator(deriveHmac(secret, SESSION_LABEL), isClient);
    }

    static boolean matches(byte[] expected, byte[] received) {
        return MessageDigest.isEqual(expected, received);
    }

    // The array encoding delimits ids and nonces, and the label prevents the use of one side's proof as the other's.
    private byte[] deriveHmac(byte[] secret, String label) {
        byte[] content = new FieldWriter()
                .writeArrayHeader(6)
                .writeString(label)
                .writeLong(Frame.VERSION)
                .writeString(clientId)
                .writeString(serverId)
                .writeBytes(clientNonce)
                .writeBytes(serverNonce)
                .toByteArray();
        return mac(secret).doFinal(content);
    }

    private static FieldReader newReader(String messageName, byte[] bytes, int fieldCount) {
        FieldReader in = new FieldReader(messageName, bytes, bytes.length);
        if (in.readArrayHeader("fields") != fieldCount) {
            throw in.failure("fields", "does not have " + fieldCount + " elements");
        }
        return in;
    }

    private static byte[] readNonce(FieldReader in) {
        byte[] nonce = in.readBytes("nonce");
        if (nonce.length != NONCE_BYTES) {
            throw in.failure("nonce", "does not have " + NONCE_BYTES + " bytes");
        }
        return nonce;
    }
}
