package org.snipewind.clients.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks addresses of an IP number and a port without asking a name service. */
final class AddressSyntax {

    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):([1-9][0-9]{0,4})");
    private static final int PORT_LIMIT = 65_535;

    private AddressSyntax() {}

    static boolean isValid(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        return matcher.matches() && Integer.parseInt(matcher.group(2)) <= PORT_LIMIT && isIpNumber(matcher.group(1));
    }

    private static boolean isIpNumber(String host) {
        if (!host.startsWith("[")) {
            return Pattern.compile("\\.")
                    .splitAsStream(host)
                    .allMatch(part -> Integer.parseInt(part) <= 255 && (part.equals("0") || !part.startsWith("0")));
        }
        try {
            // A host in brackets is only parsed; getByName looks nothing up.
            return InetAddress.getByName(host) != null;
        } catch (UnknownHostException notAnAddress) {
            return false;
        }
    }
}
