package org.chestnutbarrow.daemon;

import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Outcome;

/**
 * The result of an interactive request.
 *
 * @param outcome whether the request ran
 * @param response the response of the endpoint, or an explanation if the request did not run or its outcome is unknown
 * @param worker the worker that the request was last sent to; empty if there is none
 * @param zone the availability zone of that worker; empty if there is none
 * @param reason why this worker was selected, or why there is none
 */
record RequestResult(Outcome outcome, HttpResponse response, String worker, String zone, String reason) {
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;

    /** Creates the result of a request that an endpoint answered. */
    static RequestResult ran(HttpResponse response, String worker, String zone, String reason) {
        return new RequestResult(new Outcome.Ran(response.status()), response, worker, zone, reason);
    }

    /** Creates the result of a request that certainly did not run. */
    static RequestResult notRun(String reason) {
        HttpResponse response = HttpResponse.text(UNAVAILABLE, "not run: " + reason + "; retry later\n")
                .with("Retry-After", "1");
        return new RequestResult(new Outcome.NotRun(reason), response, "", "", reason);
    }

    /** Creates the result of a request that may have run. */
    static RequestResult unknown(String worker, String zone, String reason) {
        HttpResponse response = HttpResponse.text(
                BAD_GATEWAY,
                "it is unknown whether the request ran: " + reason + "; check its effect before repeating it\n");
        return new RequestResult(new Outcome.Unknown(reason), response, worker, zone, reason);
    }

    /** Returns this result with the advice to retry under a new id; the receipt has used up the id of the request. */
    RequestResult withNewIdAdvice() {
        HttpResponse advice = HttpResponse.text(
                        response.status(), "not run: " + reason + "; retry later with a new request id\n")
                .with("Retry-After", "1");
        return new RequestResult(outcome, advice, worker, zone, reason);
    }

    /** Returns whether the request certainly did not run. */
    boolean isNotRun() {
        return outcome instanceof Outcome.NotRun;
    }
}
