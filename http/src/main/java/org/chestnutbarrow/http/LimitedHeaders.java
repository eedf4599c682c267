package org.chestnutbarrow.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The header fields of a request that is being decoded, bounded in number, since fields of a few bytes take many times
 * their size as objects. Confined to one event loop.
 */
final class LimitedHeaders extends DefaultHttpHeaders {
    private final int maxFields;

    private LimitedHeaders(int maxFields) {
        this.maxFields = maxFields;
    }

    /** Returns a factory of headers with at most {@code maxFields}. */
    static HttpHeadersFactory factory(int maxFields) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new LimitedHeaders(maxFields);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new LimitedHeaders(maxFields);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (size() >= maxFields) {
            throw new TooLongHttpHeaderException("more than " + maxFields + " header fields");
        }
        return super.add(name, value);
    }
}
