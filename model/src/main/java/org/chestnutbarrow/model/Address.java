package org.chestnutbarrow.model;

import java.net.InetAddress;

/**
 * An IP address and a port, written {@code IP:PORT}.
 *
 * @param ip IPv4 address, or IPv6 address without brackets
 * @param port from 0 to 65535; when binding, 0 selects an ephemeral port
 */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    public Address {
        Checks.require(ip != null && !ip.isEmpty(), "address needs an IP address");
        Checks.require(port >= 0 && port <= MAX_PORT, "port must be from 0 to " + MAX_PORT);
        Checks.require(isLiteral(ip), "address must be numeric, not a host name: " + ip);
    }

    /** A text such as {@code beef} or {@code 1.2.3} would be looked up as a host name, which blocks the caller. */
    private static boolean isLiteral(String ip) {
        try {
            InetAddress.ofLiteral(ip);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /**
     * Parses {@code IP:PORT}; an IPv6 address may be enclosed in brackets.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        Checks.require(colon > 0, "address must have the form IP:PORT, not " + text);
        String ip = text.substring(0, colon);
        if (ip.startsWith("[") && ip.endsWith("]")) {
            ip = ip.substring(1, ip.length() - 1);
        }
        try {
            return new Address(ip, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("port must be a number: " + text, e);
        }
    }

    @Override
    public String toString() {
        return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
    }
}
