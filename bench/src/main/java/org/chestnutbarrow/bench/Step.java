package org.chestnutbarrow.bench;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;

/** Something that happens beside the requests of a scenario. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "step")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Step.Batch.class, name = "batch"),
    @JsonSubTypes.Type(value = Step.ZoneOut.class, name = "zone-out"),
    @JsonSubTypes.Type(value = Step.ZoneIn.class, name = "zone-in"),
    @JsonSubTypes.Type(value = Step.Fault.class, name = "fault")
})
sealed interface Step {
    /** Seconds from the first phase's start. */
    double at();

    /** A batch job is submitted. */
    record Batch(double at, int tasks, int cores, int runMs) implements Step {}

    /** Operators take a zone out of service. */
    record ZoneOut(double at, String zone) implements Step {}

    /** Operators bring a zone back. */
    record ZoneIn(double at, String zone) implements Step {}

    /** A fault of the stand-in's workers; {@code body} as in {@code POST /v1/faults}. */
    record Fault(double at, JsonNode body) implements Step {}
}
