package org.chestnutbarrow.format;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Target;

/**
 * Format of targets in files: an object with exactly one field, {@code tailLatency}, {@code finishBy} or
 * {@code alwaysOn}. Stateless.
 */
final class TargetFormat {
    static final String EXAMPLE = "{\"tailLatency\": {\"quantile\": 0.99, \"bound\": \"250ms\"}}";

    private TargetFormat() {}

    static Optional<Target> read(Node node, Problems problems) {
        Optional<FieldReader> fields = FieldReader.of(node, problems);
        if (fields.isEmpty()) {
            return Optional.empty();
        }
        FieldReader reader = fields.get();
        Optional<Node> latency = reader.optional("tailLatency");
        Optional<Node> finishBy = reader.optional("finishBy");
        Optional<Node> alwaysOn = reader.optional("alwaysOn");
        reader.rejectUnknownFields();
        List<Optional<Target>> kinds = new ArrayList<>();
        latency.ifPresent(value -> kinds.add(latency(value, problems)));
        finishBy.ifPresent(value -> kinds.add(finishBy(value, problems)));
        alwaysOn.ifPresent(value -> kinds.add(alwaysOn(value, problems)));
        if (kinds.size() == 1) {
            return kinds.getFirst();
        }
        problems.add(node, "a target has exactly one kind", "write one of tailLatency, finishBy, alwaysOn");
        return Optional.empty();
    }

    private static Optional<Target> latency(Node node, Problems problems) {
        return FieldReader.of(node, problems).flatMap(reader -> {
            Optional<Double> quantile = reader.parse(
                    reader.required("quantile", "0.99"), "a number above 0 and below 1", TargetFormat::quantile);
            Optional<Duration> bound =
                    reader.parse(reader.required("bound", "\"250ms\""), Units.DURATION_FORM, TargetFormat::bound);
            reader.rejectUnknownFields();
            return quantile.isEmpty() || bound.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new Target.TailLatency(quantile.get(), bound.get()));
        });
    }

    private static double quantile(String text) {
        double quantile = Double.parseDouble(text);
        Checks.require(quantile > 0 && quantile < 1, "quantile is out of range");
        return quantile;
    }

    private static Duration bound(String text) {
        Duration bound = Units.duration(text);
        Checks.require(bound.isPositive(), "bound must be positive");
        return bound;
    }

    private static Optional<Target> finishBy(Node node, Problems problems) {
        return FieldReader.of(node, problems).flatMap(reader -> {
            Optional<LocalTime> time = reader.parse(
                    reader.required("time", "\"06:30\""), "a local time such as \"06:30\"", LocalTime::parse);
            Optional<ZoneId> zone = reader.parse(
                    reader.required("timeZone", "\"Europe/Budapest\""),
                    "a time zone name such as \"Europe/Budapest\"",
                    ZoneId::of);
            reader.rejectUnknownFields();
            return time.isEmpty() || zone.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new Target.FinishBy(time.get(), zone.get()));
        });
    }

    private static Optional<Target> alwaysOn(Node node, Problems problems) {
        return FieldReader.parse(
                node,
                "true",
                text -> {
                    Checks.require(text.equals("true"), "must be true");
                    return new Target.AlwaysOn();
                },
                problems);
    }

    static ObjectNode write(Target target) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        switch (target) {
            case Target.TailLatency latency ->
                json.putObject("tailLatency")
                        .put("quantile", latency.quantile())
                        .put("bound", Units.duration(latency.bound()));
            case Target.FinishBy finish ->
                json.putObject("finishBy")
                        .put("time", finish.time().toString())
                        .put("timeZone", finish.zone().getId());
            case Target.AlwaysOn always -> json.put("alwaysOn", true);
        }
        return json;
    }

    static String text(Target target) {
        return switch (target) {
            case Target.TailLatency latency ->
                "tail latency at quantile " + latency.quantile() + " within " + Units.duration(latency.bound());
            case Target.FinishBy finish -> "finish by " + finish.time() + " " + finish.zone();
            case Target.AlwaysOn always -> "always on";
        };
    }
}
