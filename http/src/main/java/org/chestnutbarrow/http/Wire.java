package org.chestnutbarrow.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Conversions between our messages and Netty's. Stateless. */
final class Wire {
    /** Fields that belong to one connection or frame one message (RFC 9110, section 7.6.1) and are never copied. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private Wire() {}

    static Headers headers(HttpHeaders from) {
        List<Headers.Field> fields = new ArrayList<>(from.size());
        for (Map.Entry<String, String> entry : from) {
            if (!HOP_BY_HOP.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
                fields.add(new Headers.Field(entry.getKey(), entry.getValue()));
            }
        }
        return new Headers(fields);
    }

    static void copy(Headers from, HttpHeaders to) {
        for (Headers.Field field : from.fields()) {
            if (!HOP_BY_HOP.contains(field.name().toLowerCase(Locale.ROOT))) {
                to.add(field.name(), field.value());
            }
        }
    }

    /** The text in quotes with control characters and quotes escaped, so that it cannot forge a log line. */
    static String quote(String text) {
        StringBuilder result = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' || c == '"' || c == '\\' || c > '~') {
                result.append(String.format("\\u%04x", (int) c));
            } else {
                result.append(c);
            }
        }
        return result.append('"').toString();
    }
}
