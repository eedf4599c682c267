package org.chestnutbarrow.http;

/** Answers requests. Called on a virtual thread of its own for each request, so it may block. */
@FunctionalInterface
public interface HttpHandler {
    /** The answer to the request; an exception becomes a plain 500. */
    HttpResponse handle(HttpRequest request) throws Exception;
}
