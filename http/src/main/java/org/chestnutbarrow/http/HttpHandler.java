package org.chestnutbarrow.http;

/** Handles requests. Called on a separate virtual thread for each request, so implementations may block. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a request and returns the response; an exception results in status 500. */
    HttpResponse handle(HttpRequest request) throws Exception;
}
