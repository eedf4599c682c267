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
 * Parses the settings file of a daemon, JSON with comments; {@code examples/daemon.jsonc} explains each field.
 * Stateless.
 *
 * <pre>{@code
 * DaemonSettings settings = SettingsFile.read("daemon.jsonc", Files.readAllBytes(path));
 * }</pre>
 */
public final class SettingsFile {
    private static final String NAME_FORM = "1 to 128 letters, digits and . - _ :";
    private static final String BIND_ADDRESS_FORM = "IP:PORT with a numeric IP and a port from 0 to 65535";
    private static final String REMOTE_ADDRESS_FORM = "IP:PORT with a numeric IP and a port from 1 to 65535";
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
     * @param file name of the file for error messages
     * @throws InvalidInputException listing all errors, each with file, line, path, value, allowed range and remedy
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
        Optional<Address> http = address(reader, "http", BIND_ADDRESS_FORM);
        Optional<Address> peer = address(reader, "peer", BIND_ADDRESS_FORM);
        Optional<String> key = reader.parse(
                reader.required("peerKey", "\"a secret that all daemons share\""),
                "a secret of " + MIN_KEY_LENGTH + " to " + MAX_KEY_LENGTH + " characters",
                SettingsFile::key);
        SortedMap<DaemonId, Address> peers = peers(reader, id, problems);
        Optional<Address> log = address(reader, "log", REMOTE_ADDRESS_FORM);
        Optional<Address> hostList = address(reader, "hostList", REMOTE_ADDRESS_FORM);
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
        reader.rejectUnknownFields();
        if (!problems.isEmpty()) {
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
        boolean isBindAddress = form.equals(BIND_ADDRESS_FORM);
        return reader.parse(
                reader.required(name, "\"127.0.0.1:8080\""),
                form,
                isBindAddress ? Address::parse : SettingsFile::remoteAddress);
    }

    private static Address remoteAddress(String text) {
        Address address = Address.parse(text);
        Checks.require(address.port() > 0, "port must not be 0");
        return address;
    }

    private static SortedMap<DaemonId, Address> peers(FieldReader reader, Optional<DaemonId> ownId, Problems problems) {
        SortedMap<DaemonId, Address> peers = new TreeMap<>();
        reader.entries(reader.required("peers", "{}")).forEach((name, node) -> {
            Optional<Address> address =
                    FieldReader.parse(node, REMOTE_ADDRESS_FORM, SettingsFile::remoteAddress, problems);
            try {
                DaemonId id = new DaemonId(name);
                if (ownId.isPresent() && ownId.get().equals(id)) {
                    problems.add(node, "the daemon lists itself as a peer", "remove it");
                }
                address.ifPresent(value -> peers.put(id, value));
            } catch (IllegalArgumentException e) {
                problems.add(node, "\"" + name + "\" is not a valid daemon id", "use " + NAME_FORM);
            }
        });
        return peers;
    }

    private static Duration retention(String text) {
        Duration duration = Units.duration(text);
        boolean inRange =
                duration.compareTo(Duration.ofSeconds(10)) >= 0 && duration.compareTo(Duration.ofDays(366)) <= 0;
        Checks.require(inRange, "duration is out of range");
        return duration;
    }

    private static String key(String text) {
        Checks.require(text.length() >= MIN_KEY_LENGTH && text.length() <= MAX_KEY_LENGTH, "length is out of range");
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
        DaemonSettings.Limits defaults = DaemonSettings.Limits.DEFAULT;
        DaemonSettings.Limits limits = new DaemonSettings.Limits(
                number(reader, "connections", 1, 100_000, "connections", defaults.connections()),
                number(reader, "headerBytes", 1024, 1024 * 1024, "bytes", defaults.headerBytes()),
                number(reader, "bodyBytes", 1024, 1024 * 1024, "bytes", defaults.bodyBytes()),
                number(reader, "queuedRequests", 0, 1_000_000, "requests", defaults.queuedRequests()),
                time(reader, "receive", defaults.receive()),
                time(reader, "idle", defaults.idle()));
        reader.rejectUnknownFields();
        return limits;
    }

    private static int number(FieldReader reader, String name, int min, int max, String unit, int defaultValue) {
        return reader.number(reader.optional(name), min, max, unit).orElse(defaultValue);
    }

    private static Duration time(FieldReader reader, String name, Duration defaultValue) {
        return reader.parse(reader.optional(name), "a duration from 100ms to 1h, such as \"10s\"", text -> {
                    Duration duration = Units.duration(text);
                    boolean inRange = duration.toMillis() >= 100 && duration.compareTo(Duration.ofHours(1)) <= 0;
                    Checks.require(inRange, "duration is out of range");
                    return duration;
                })
                .orElse(defaultValue);
    }
}
