package org.chestnutbarrow.format;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.InvalidInputException;

/**
 * The settings file of a daemon, JSON with comments; {@code examples/daemon.jsonc} explains each field. Stateless.
 *
 * <pre>{@code
 * DaemonSettings settings = SettingsFile.read("daemon.jsonc", Files.readAllBytes(path));
 * }</pre>
 */
public final class SettingsFile {
    private static final String NAME_FORM = "1 to 128 letters, digits and . - _ :";
    private static final String ADDRESS_FORM = "IP:PORT with a numeric IP and a port from 0 to 65535";
    private static final String PEER_FORM = "IP:PORT with a numeric IP and a port from 1 to 65535";
    private static final String RETENTION_FORM = "a duration from 10s to 8784h, such as \"24h\"";
    private static final Duration DEFAULT_RETENTION = Duration.ofHours(1);
    private static final int MIN_KEY_LENGTH = 16;
    private static final int MAX_KEY_LENGTH = 1024;
    private static final Map<String, System.Logger.Level> LEVELS = Map.of(
            "debug", System.Logger.Level.DEBUG,
            "info", System.Logger.Level.INFO,
            "warning", System.Logger.Level.WARNING,
            "error", System.Logger.Level.ERROR);

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file name of the file, for errors
     * @throws InvalidInputException with all errors, each with file, line, path, value, allowed range and remedy
     */
    public static DaemonSettings read(String file, byte[] data) throws InvalidInputException {
        Problems problems = new Problems(file);
        Optional<DaemonSettings> settings = Node.parse(data, problems)
                .flatMap(node -> FieldReader.of(node, problems))
                .flatMap(reader -> read(reader, problems));
        problems.throwIfAny();
        return settings.orElseThrow();
    }

    private static Optional<DaemonSettings> read(FieldReader reader, Problems problems) {
        Optional<DaemonId> id = reader.parse(reader.required("id", "\"entry-1\""), NAME_FORM, DaemonId::new);
        Optional<AvailabilityZone> zone =
                reader.parse(reader.required("availabilityZone", "\"zone-a\""), NAME_FORM, AvailabilityZone::new);
        Optional<Address> http = address(reader, "http", ADDRESS_FORM);
        Optional<Address> peer = address(reader, "peer", ADDRESS_FORM);
        Optional<String> key = reader.parse(
                reader.required("peerKey", "\"a secret that all daemons share\""),
                "a secret of " + MIN_KEY_LENGTH + " to " + MAX_KEY_LENGTH + " characters",
                SettingsFile::key);
        SortedMap<DaemonId, Address> peers = peers(reader, id, problems);
        Optional<Address> log = address(reader, "log", PEER_FORM);
        Optional<Address> hostList = address(reader, "hostList", PEER_FORM);
        Duration retention = reader.parse(reader.optional("logRetention"), RETENTION_FORM, SettingsFile::retention)
                .orElse(DEFAULT_RETENTION);
        System.Logger.Level level = reader.parse(
                        reader.optional("logLevel"), "one of debug, info, warning, error", SettingsFile::level)
                .orElse(System.Logger.Level.INFO);
        Optional<Path> logFile = reader.parse(
                        reader.optional("logTo"), "\"stderr\" or the path of a file", SettingsFile::path)
                .flatMap(path -> path);
        DaemonSettings.Limits limits = reader.optional("limits")
                .flatMap(node -> FieldReader.of(node, problems))
                .map(SettingsFile::limits)
                .orElse(DaemonSettings.Limits.DEFAULT);
        reader.finish();
        if (!problems.none()) {
            return Optional.empty();
        }
        return Optional.of(new DaemonSettings(
                id.orElseThrow(),
                zone.orElseThrow(),
                http.orElseThrow(),
                peer.orElseThrow(),
                key.orElseThrow(),
                peers,
                log.orElseThrow(),
                hostList.orElseThrow(),
                retention,
                level,
                logFile,
                limits));
    }

    private static Optional<Address> address(FieldReader reader, String name, String form) {
        boolean bound = form.equals(ADDRESS_FORM);
        return reader.parse(
                reader.required(name, "\"127.0.0.1:8080\""), form, bound ? Address::parse : SettingsFile::remote);
    }

    private static Address remote(String text) {
        Address address = Address.parse(text);
        Checks.require(address.port() > 0, "port must be given");
        return address;
    }

    private static SortedMap<DaemonId, Address> peers(FieldReader reader, Optional<DaemonId> self, Problems problems) {
        SortedMap<DaemonId, Address> peers = new TreeMap<>();
        reader.entries(reader.required("peers", "{}")).forEach((name, node) -> {
            Optional<Address> address = FieldReader.parse(node, PEER_FORM, SettingsFile::remote, problems);
            try {
                DaemonId id = new DaemonId(name);
                if (self.isPresent() && self.get().equals(id)) {
                    problems.add(node, "the daemon itself is listed", "remove it");
                }
                address.ifPresent(value -> peers.put(id, value));
            } catch (IllegalArgumentException e) {
                problems.add(node, "\"" + name + "\" is not a valid daemon id", "use " + NAME_FORM);
            }
        });
        return peers;
    }

    private static Duration retention(String text) {
        Duration time = Units.duration(text);
        boolean inRange = time.compareTo(Duration.ofSeconds(10)) >= 0 && time.compareTo(Duration.ofDays(366)) <= 0;
        Checks.require(inRange, "duration is out of range");
        return time;
    }

    private static String key(String text) {
        Checks.require(text.length() >= MIN_KEY_LENGTH && text.length() <= MAX_KEY_LENGTH, "key has the wrong length");
        return text;
    }

    private static System.Logger.Level level(String text) {
        System.Logger.Level level = LEVELS.get(text);
        Checks.require(level != null, "unknown level");
        return level;
    }

    private static Optional<Path> path(String text) {
        Checks.require(!text.isEmpty(), "path is empty");
        return text.equals("stderr") ? Optional.empty() : Optional.of(Path.of(text));
    }

    private static DaemonSettings.Limits limits(FieldReader reader) {
        DaemonSettings.Limits standard = DaemonSettings.Limits.DEFAULT;
        DaemonSettings.Limits limits = new DaemonSettings.Limits(
                number(reader, "connections", 1, 100_000, "connections", standard.connections()),
                number(reader, "headerBytes", 1024, 1024 * 1024, "bytes", standard.headerBytes()),
                number(reader, "bodyBytes", 1024, 1024 * 1024, "bytes", standard.bodyBytes()),
                number(reader, "queuedRequests", 0, 1_000_000, "requests", standard.queuedRequests()),
                time(reader, "receive", standard.receive()),
                time(reader, "idle", standard.idle()));
        reader.finish();
        return limits;
    }

    private static int number(FieldReader reader, String name, int min, int max, String unit, int standard) {
        return reader.number(reader.optional(name), min, max, unit).orElse(standard);
    }

    private static Duration time(FieldReader reader, String name, Duration standard) {
        return reader.parse(reader.optional(name), "a duration from 100ms to 1h, such as \"10s\"", text -> {
                    Duration time = Units.duration(text);
                    boolean inRange = time.toMillis() >= 100 && time.compareTo(Duration.ofHours(1)) <= 0;
                    Checks.require(inRange, "duration is out of range");
                    return time;
                })
                .orElse(standard);
    }
}
