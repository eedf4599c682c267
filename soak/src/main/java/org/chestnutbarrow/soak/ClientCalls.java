package org.chestnutbarrow.soak;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.chestnutbarrow.http.Headers;
import org.chestnutbarrow.http.HttpClient;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.http.HttpResponse;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.soak.Observation.JobState;

/**
 * Calls of clients, whose answers go to the history. Open connections are used until the process at their other end has
 * closed them. Thread-safe.
 */
final class ClientCalls implements AutoCloseable {
    static final String PREFIX = "/q/";

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int GONE = 410;

    private final HttpClient client = new HttpClient(MAX_BODY_BYTES);
    private final List<NodeProcess> nodes;
    private final History history;

    ClientCalls(List<NodeProcess> nodes, History history) {
        this.nodes = List.copyOf(nodes);
        this.history = history;
    }

    /** Returns the number of nodes; the calls name one by its index. */
    int nodes() {
        return nodes.size();
    }

    /** Submits a job and returns whether it was accepted. */
    boolean submit(int node, JobPlan plan) {
        Optional<HttpResponse> response = send(node, HttpRequest.json("POST", PREFIX + plan.id(), plan.body()));
        boolean accepted = response.filter(ClientCalls::isSuccess).isPresent();
        if (accepted) {
            history.record(new Observation.Accepted(history.now(), plan.id(), name(node)));
        }
        return accepted;
    }

    /** Cancels a job and returns whether the cancellation is stored. */
    boolean cancel(int node, String job) {
        Optional<HttpResponse> response = send(node, HttpRequest.json("DELETE", PREFIX + job, ""));
        boolean accepted = response.filter(ClientCalls::isSuccess).isPresent();
        if (accepted) {
            history.record(new Observation.CancelAccepted(history.now(), job, name(node)));
        }
        return accepted;
    }

    /** Asks for the state of a job; empty if there is no answer. */
    Optional<JobState> ask(int node, String job) {
        Duration sentAt = history.now();
        Optional<HttpResponse> response = send(node, HttpRequest.get(PREFIX + job));
        Optional<JobState> state = response.flatMap(ClientCalls::state);
        state.ifPresent(s -> history.record(new Observation.Shown(history.now(), sentAt, job, name(node), s)));
        return state;
    }

    private static Optional<JobState> state(HttpResponse response) {
        return switch (response.status()) {
            case OK ->
                Optional.of(JobState.valueOf(
                        Json.parse(response.body()).path("state").asText().toUpperCase(Locale.ROOT)));
            case GONE -> Optional.of(JobState.UNKNOWN);
            default -> Optional.empty();
        };
    }

    private String name(int node) {
        return nodes.get(node).name();
    }

    private static boolean isSuccess(HttpResponse response) {
        return response.status() < FIRST_REDIRECT;
    }

    private Optional<HttpResponse> send(int node, HttpRequest request) {
        Headers headers = request.headers().with("Deadline-Ms", String.valueOf(TIMEOUT.toMillis()));
        try {
            return Optional.of(client.send(
                    nodes.get(node).apiAddress(),
                    new HttpRequest(request.method(), request.target(), headers, request.body()),
                    TIMEOUT));
        } catch (NotRunException | OutcomeUnknownException e) {
            return Optional.empty();
        }
    }

    /** Returns whether all nodes report that they are ready. */
    boolean allReady() {
        for (NodeProcess node : nodes) {
            try {
                if (client.send(node.readyAddress(), HttpRequest.get("/"), Duration.ofSeconds(1))
                                .status()
                        != OK) {
                    return false;
                }
            } catch (NotRunException | OutcomeUnknownException e) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        client.close();
    }
}
