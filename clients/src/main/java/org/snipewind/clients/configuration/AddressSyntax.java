package org.snipewind.clients.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks the syntax of addresses that consist of an IP address and a port, without name resolution. */
final class AddressSyntax {

    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):([1-9][0-9]{0,4})");
    private static final int MAX_PORT = 65_535;

    private AddressSyntax() {}

    static boolean isValid(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        return matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT && isIpAddress(matcher.group(1));
    }

    private static boolean isIpAddress(String host) {
        if (!host.startsWith("[")) {
            return Pattern.compile("\\.")
                    .splitAsStream(host)
                    .allMatch(octet -> Integer.parseInt(octet) <= 255 && (octet.equals("0") || !octet.startsWith("0")));
        }
        try {
            // A host in brackets is parsed as an IPv6 address; getByName makes no look-up for it.
            return InetAddress.getByName(host) != null;
        } catch (UnknownHostException notAnAddress) {
            return false;
        }
    }
}
