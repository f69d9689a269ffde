package org.snipewind.daemon.settings;

import java.nio.file.Path;

/**
 * Files for TLS between daemons.
 *
 * @param certificate certificate chain of this daemon in PEM form
 * @param key private key of this daemon in PKCS#8 PEM form
 * @param trust certificates that are trusted, in PEM form
 */
public record TlsSettings(Path certificate, Path key, Path trust) {}
