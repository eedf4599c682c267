package org.chestnutbarrow.format;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Declarations;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.Team;
import org.chestnutbarrow.model.WorkClass;

/**
 * Parses and writes declaration files: JSON with comments that declares availability zones, teams and classes.
 * Stateless.
 *
 * <pre>{@code
 * Declarations declarations = DeclarationFile.read("declarations.jsonc", Files.readAllBytes(path));
 * }</pre>
 */
public final class DeclarationFile {
    private static final String NAME_FORM = "1 to 128 letters, digits and . - _ :";

    private DeclarationFile() {}

    /**
     * Reads a file.
     *
     * @param file name of the file for error messages
     * @throws InvalidInputException listing all errors, each with file, line, path and remedy
     */
    public static Declarations read(String file, byte[] data) throws InvalidInputException {
        Problems problems = new Problems(file);
        Declarations declarations = Node.parse(data, problems)
                .flatMap(node -> FieldReader.of(node, problems))
                .map(reader -> read(reader, problems))
                .orElse(Declarations.EMPTY);
        problems.throwIfAny();
        return declarations;
    }

    private static Declarations read(FieldReader reader, Problems problems) {
        TreeSet<AvailabilityZone> zones = new TreeSet<>();
        for (Node item : reader.items(reader.required("availabilityZones", "[\"zone-a\"]"))) {
            FieldReader.parse(item, NAME_FORM, AvailabilityZone::new, problems).ifPresent(zone -> {
                if (!zones.add(zone)) {
                    problems.add(item, "zone " + zone + " is declared twice", "remove one");
                }
            });
        }
        Map<String, Node> teamNodes = reader.entries(reader.required("teams", "{}"));
        SortedMap<String, Team> teams = new TreeMap<>();
        teamNodes.forEach((name, node) -> team(name, node, problems).ifPresent(team -> teams.put(name, team)));
        SortedMap<String, WorkClass> classes = new TreeMap<>();
        reader.entries(reader.required("classes", "{}"))
                .forEach((name, node) ->
                        workClass(name, node, teamNodes, problems).ifPresent(work -> classes.put(name, work)));
        reader.rejectUnknownFields();
        return problems.isEmpty() ? new Declarations(classes, teams, zones) : Declarations.EMPTY;
    }

    private static Optional<Team> team(String name, Node node, Problems problems) {
        boolean validName = checkName(name, node, problems);
        return FieldReader.of(node, problems).flatMap(reader -> {
            Optional<Resources> quota = reader.required("quota", ResourcesFormat.EXAMPLE)
                    .flatMap(value -> ResourcesFormat.read(value, problems));
            reader.rejectUnknownFields();
            return validName ? quota.map(amount -> new Team(name, amount)) : Optional.empty();
        });
    }

    private static Optional<WorkClass> workClass(String name, Node node, Map<String, Node> teams, Problems problems) {
        boolean validName = checkName(name, node, problems);
        return FieldReader.of(node, problems).flatMap(reader -> {
            Optional<Node> teamNode = reader.required(
                    "team", "\"" + teams.keySet().stream().findFirst().orElse("NAME") + "\"");
            Optional<String> team = reader.parse(teamNode, "the name of a declared team", text -> {
                Checks.require(teams.containsKey(text), "unknown team");
                return text;
            });
            Optional<Target> target = reader.required("target", TargetFormat.EXAMPLE)
                    .flatMap(value -> TargetFormat.read(value, problems));
            Resources declaredDemand = reader.optional("demand")
                    .flatMap(value -> ResourcesFormat.read(value, problems))
                    .orElse(Resources.NONE);
            reader.rejectUnknownFields();
            if (!validName || team.isEmpty() || target.isEmpty()) {
                return Optional.empty();
            }
            boolean interactive = target.get() instanceof Target.TailLatency;
            Resources demand = interactive ? declaredDemand.plus(Resources.ONE_REQUEST) : declaredDemand;
            return Optional.of(new WorkClass(name, team.get(), target.get(), demand));
        });
    }

    private static boolean checkName(String name, Node node, Problems problems) {
        try {
            Checks.identifier("name", name);
            return true;
        } catch (IllegalArgumentException e) {
            problems.add(node, "\"" + name + "\" is not a valid name", "use " + NAME_FORM);
            return false;
        }
    }

    /** Returns the declarations as JSON that {@link #read} accepts. */
    public static ObjectNode write(Declarations declarations) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode zones = json.putArray("availabilityZones");
        declarations.zones().forEach(zone -> zones.add(zone.value()));
        ObjectNode teams = json.putObject("teams");
        declarations
                .teams()
                .forEach((name, team) -> teams.putObject(name).set("quota", ResourcesFormat.write(team.quota())));
        ObjectNode classes = json.putObject("classes");
        declarations.classes().forEach((name, workClass) -> {
            ObjectNode entry = classes.putObject(name).put("team", workClass.team());
            entry.set("target", TargetFormat.write(workClass.target()));
            entry.set("demand", ResourcesFormat.write(workClass.demand()));
        });
        return json;
    }

    /** Lists the differences, one per line: {@code +} for added, {@code -} for removed, {@code ~} for changed. */
    public static List<String> diff(Declarations from, Declarations to) {
        List<String> lines = new ArrayList<>();
        to.zones().stream().filter(zone -> !from.zones().contains(zone)).forEach(zone -> lines.add("+ zone " + zone));
        from.zones().stream().filter(zone -> !to.zones().contains(zone)).forEach(zone -> lines.add("- zone " + zone));
        diff(
                "team",
                from.teams(),
                to.teams(),
                lines,
                (before, after) ->
                        change("quota", ResourcesFormat.text(before.quota()), ResourcesFormat.text(after.quota())));
        diff("class", from.classes(), to.classes(), lines, DeclarationFile::change);
        return lines;
    }

    private static <T> void diff(
            String kind, Map<String, T> from, Map<String, T> to, List<String> lines, BiFunction<T, T, String> change) {
        TreeSet<String> names = new TreeSet<>(from.keySet());
        names.addAll(to.keySet());
        for (String name : names) {
            T before = from.get(name);
            T after = to.get(name);
            if (before == null) {
                lines.add("+ " + kind + " " + name);
            } else if (after == null) {
                lines.add("- " + kind + " " + name);
            } else if (!before.equals(after)) {
                lines.add("~ " + kind + " " + name + ":" + change.apply(before, after));
            }
        }
    }

    private static String change(WorkClass from, WorkClass to) {
        return change("team", from.team(), to.team())
                + change("target", TargetFormat.text(from.target()), TargetFormat.text(to.target()))
                + change("demand", ResourcesFormat.text(from.demand()), ResourcesFormat.text(to.demand()));
    }

    private static String change(String what, String from, String to) {
        return from.equals(to) ? "" : " " + what + " from " + from + " to " + to;
    }
}
