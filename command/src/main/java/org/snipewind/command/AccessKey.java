package org.snipewind.command;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Secret access key of an organisation.
 *
 * @param secret the key as callers send it to the router
 */
record AccessKey(String secret) {

    /** Length of a generated key. 32 random bytes cannot be guessed, so a plain digest of the key needs no salt. */
    private static final int RANDOM_BYTES = 32;

    static AccessKey generate() {
        byte[] bytes = new byte[RANDOM_BYTES];
        new SecureRandom().nextBytes(bytes);
        return new AccessKey(Base64.getUrlEncoder().withoutPadding().encodeToString(bytes));
    }

    String digest() {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException("every Java platform has SHA-256", failure);
        }
    }

    @Override
    public String toString() {
        return "AccessKey[" + digest().substring(0, 8) + "]";
    }
}
