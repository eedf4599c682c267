package org.chestnutbarrow.daemon;

import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.Outcome;

/**
 * What became of an interactive request.
 *
 * @param outcome whether it ran
 * @param response the endpoint's answer, or an explanation if it did not run or is unknown
 * @param worker worker that it was sent to last; empty if none
 * @param zone availability zone of that worker; empty if none
 * @param reason why that worker, or why none
 */
record Exchange(Outcome outcome, HttpResponse response, String worker, String zone, String reason) {
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;

    static Exchange ran(HttpResponse response, String worker, String zone, String reason) {
        return new Exchange(new Outcome.Ran(response.status()), response, worker, zone, reason);
    }

    static Exchange notRun(String reason) {
        HttpResponse response = HttpResponse.text(UNAVAILABLE, "not run: " + reason + "; send it again later\n")
                .with("Retry-After", "1");
        return new Exchange(new Outcome.NotRun(reason), response, "", "", reason);
    }

    static Exchange unknown(String worker, String zone, String reason) {
        HttpResponse response = HttpResponse.text(
                BAD_GATEWAY,
                "it is unknown whether this ran: " + reason + "; ask for its effect before repeating it\n");
        return new Exchange(new Outcome.Unknown(reason), response, worker, zone, reason);
    }

    /** The same for a request whose receipt was made before: its id is used up although it did not run. */
    Exchange withNewIdAdvice() {
        HttpResponse advice = HttpResponse.text(
                        response.status(), "not run: " + reason + "; send it again later with a new request id\n")
                .with("Retry-After", "1");
        return new Exchange(outcome, advice, worker, zone, reason);
    }

    boolean isNotRun() {
        return outcome instanceof Outcome.NotRun;
    }
}
