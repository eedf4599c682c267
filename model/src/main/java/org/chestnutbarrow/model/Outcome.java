package org.chestnutbarrow.model;

/** The outcome of a request. Only {@link NotRun} makes it safe for the caller to retry. Immutable. */
public sealed interface Outcome {
    /** Returns the value of the {@code Chestnutbarrow-Outcome} header. */
    String label();

    /** The endpoint sent a complete response. */
    record Ran(int status) implements Outcome {
        @Override
        public String label() {
            return "ran";
        }
    }

    /** The request was rejected before any byte was sent to an endpoint. */
    record NotRun(String reason) implements Outcome {
        @Override
        public String label() {
            return "not-run";
        }
    }

    /** The request may or may not have run. */
    record Unknown(String reason) implements Outcome {
        @Override
        public String label() {
            return "unknown";
        }
    }
}
