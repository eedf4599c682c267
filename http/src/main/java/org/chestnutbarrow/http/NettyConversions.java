package org.chestnutbarrow.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Converts headers between this package and Netty, and escapes text for log lines. Stateless. */
final class NettyConversions {
    /** Hop-by-hop and framing fields (RFC 9110, section 7.6.1), which are never copied. */
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

    private NettyConversions() {}

    static Headers fromNetty(HttpHeaders source) {
        List<Headers.Field> fields = new ArrayList<>(source.size());
        for (Map.Entry<String, String> entry : source) {
            if (!HOP_BY_HOP.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
                fields.add(new Headers.Field(entry.getKey(), entry.getValue()));
            }
        }
        return new Headers(fields);
    }

    static void copy(Headers source, HttpHeaders target) {
        for (Headers.Field field : source.fields()) {
            if (!HOP_BY_HOP.contains(field.name().toLowerCase(Locale.ROOT))) {
                target.add(field.name(), field.value());
            }
        }
    }

    /** Quotes the text and escapes quotes, control and non-ASCII characters, which prevents log injection. */
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
