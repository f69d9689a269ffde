package org.snipewind.daemon.settings;

import java.nio.file.Path;

/**
 * Files for TLS between daemons.
 *
 * @param certificate PEM file with the certificate chain of this daemon
 * @param key PEM file with the private key of this daemon in PKCS#8 format
 * @param trust PEM file with the trusted certificates
 */
public record TlsSettings(Path certificate, Path key, Path trust) {}
