package org.chestnutbarrow.model;

/** What became of a request. Only {@link NotRun} invites the caller to send it again. Immutable. */
public sealed interface Outcome {
    /** The value of the {@code Chestnutbarrow-Outcome} header. */
    String label();

    /** The endpoint answered in whole. */
    record Ran(int status) implements Outcome {
        @Override
        public String label() {
            return "ran";
        }
    }

    /** Refused before any byte was sent to an endpoint. */
    record NotRun(String reason) implements Outcome {
        @Override
        public String label() {
            return "not-run";
        }
    }

    /** It may or may not have run. */
    record Unknown(String reason) implements Outcome {
        @Override
        public String label() {
            return "unknown";
        }
    }
}
