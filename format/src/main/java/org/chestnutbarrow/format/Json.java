package org.chestnutbarrow.format;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.Base64;
import java.util.BitSet;
import java.util.Optional;
import java.util.function.Function;
import org.chestnutbarrow.catalog.TaskSet;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;

/**
 * The one configured mapper. Stateless; safe for use by several threads.
 *
 * <p>Ids, addresses and times are strings, an empty {@link Optional} is null, and the variants of sealed interfaces carry
 * their name in {@code type}. Comments are allowed; unknown, missing and repeated fields are errors.
 *
 * <pre>{@code
 * byte[] body = Json.MAPPER.writeValueAsBytes(record);
 * }</pre>
 */
public final class Json {
    /** The mapper; shared because it caches what it learned of each type. */
    public static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .addMixIn(LogRecord.class, LogRecordTypes.class)
            .addMixIn(Target.class, TargetTypes.class)
            .addModule(types())
            .build();

    private Json() {}

    private static SimpleModule types() {
        SimpleModule module = new SimpleModule("chestnutbarrow");
        text(module, JobId.class, JobId::new);
        text(module, TaskId.class, TaskId::parse);
        text(module, DaemonId.class, DaemonId::new);
        text(module, WorkerId.class, WorkerId::new);
        text(module, CheckpointId.class, CheckpointId::new);
        text(module, AvailabilityZone.class, AvailabilityZone::new);
        text(module, Address.class, Address::parse);
        text(module, Instant.class, Instant::parse);
        text(module, Duration.class, Duration::parse);
        text(module, LocalTime.class, LocalTime::parse);
        text(module, ZoneId.class, ZoneId::of);
        module.addSerializer(TaskSet.class, new TaskSetWriter());
        module.addDeserializer(TaskSet.class, new TextReader<>(Json::taskSet));
        module.addSerializer(Optional.class, new OptionalWriter());
        module.addDeserializer(Optional.class, new OptionalReader(null));
        return module;
    }

    private static <T> void text(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new TextReader<>(parse));
        module.addKeyDeserializer(type, new KeyDeserializer() {
            @Override
            public Object deserializeKey(String key, DeserializationContext context) {
                return parse.apply(key);
            }
        });
    }

    private static TaskSet taskSet(String text) {
        return new TaskSet(BitSet.valueOf(Base64.getDecoder().decode(text)));
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = LogRecord.ConfigChanged.class, name = "config-changed"),
        @JsonSubTypes.Type(value = LogRecord.ZoneChanged.class, name = "zone-changed"),
        @JsonSubTypes.Type(value = LogRecord.JobAccepted.class, name = "job-accepted"),
        @JsonSubTypes.Type(value = LogRecord.JobsCancelled.class, name = "jobs-cancelled"),
        @JsonSubTypes.Type(value = LogRecord.ShardClaimed.class, name = "shard-claimed"),
        @JsonSubTypes.Type(value = LogRecord.TasksEnded.class, name = "tasks-ended"),
        @JsonSubTypes.Type(value = LogRecord.ReceiptsMade.class, name = "receipts-made")
    })
    private interface LogRecordTypes {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Target.TailLatency.class, name = "tail-latency"),
        @JsonSubTypes.Type(value = Target.FinishBy.class, name = "finish-by"),
        @JsonSubTypes.Type(value = Target.AlwaysOn.class, name = "always-on")
    })
    private interface TargetTypes {}

    /** Reads a value from a string. */
    private static final class TextReader<T> extends JsonDeserializer<T> {
        private final Function<String, T> parse;

        TextReader(Function<String, T> parse) {
            this.parse = parse;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getValueAsString();
            if (text == null) {
                throw JsonMappingException.from(parser, "a string is expected");
            }
            try {
                return parse.apply(text);
            } catch (RuntimeException e) {
                throw JsonMappingException.from(parser, e.getMessage(), e);
            }
        }
    }

    /** Writes a set of tasks as the base64 form of its bits. */
    private static final class TaskSetWriter extends JsonSerializer<TaskSet> {
        @Override
        public void serialize(TaskSet value, JsonGenerator json, SerializerProvider provider) throws IOException {
            json.writeString(Base64.getEncoder().encodeToString(value.bits().toByteArray()));
        }
    }

    /** Writes an empty value as null. */
    @SuppressWarnings("rawtypes")
    private static final class OptionalWriter extends JsonSerializer<Optional> {
        @Override
        public void serialize(Optional value, JsonGenerator json, SerializerProvider provider) throws IOException {
            if (value.isPresent()) {
                provider.defaultSerializeValue(value.get(), json);
            } else {
                json.writeNull();
            }
        }
    }

    /** Reads null as an empty value. */
    @SuppressWarnings("rawtypes")
    private static final class OptionalReader extends JsonDeserializer<Optional> implements ContextualDeserializer {
        private final JavaType content;

        OptionalReader(JavaType content) {
            this.content = content;
        }

        @Override
        public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property) {
            JavaType type = context.getContextualType();
            return new OptionalReader(type == null ? property.getType().containedType(0) : type.containedType(0));
        }

        @Override
        public Optional deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return Optional.of(context.<Object>readValue(parser, content));
        }

        @Override
        public Optional getNullValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
