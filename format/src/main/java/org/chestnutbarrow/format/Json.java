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
 * The shared JSON mapper. Stateless; safe for use by several threads.
 *
 * <p>Ids, addresses and times are written as strings, an empty {@link Optional} as null, and the subtypes of sealed
 * interfaces have a {@code type} field. Comments are allowed; unknown, missing and duplicate fields are errors.
 *
 * <pre>{@code
 * byte[] body = Json.MAPPER.writeValueAsBytes(record);
 * }</pre>
 */
public final class Json {
    /** The mapper; shared because it caches serializers and type information. */
    public static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .addMixIn(LogRecord.class, LogRecordMixIn.class)
            .addMixIn(Target.class, TargetMixIn.class)
            .addModule(module())
            .build();

    private Json() {}

    private static SimpleModule module() {
        SimpleModule module = new SimpleModule("chestnutbarrow");
        addTextType(module, JobId.class, JobId::new);
        addTextType(module, TaskId.class, TaskId::parse);
        addTextType(module, DaemonId.class, DaemonId::new);
        addTextType(module, WorkerId.class, WorkerId::new);
        addTextType(module, CheckpointId.class, CheckpointId::new);
        addTextType(module, AvailabilityZone.class, AvailabilityZone::new);
        addTextType(module, Address.class, Address::parse);
        addTextType(module, Instant.class, Instant::parse);
        addTextType(module, Duration.class, Duration::parse);
        addTextType(module, LocalTime.class, LocalTime::parse);
        addTextType(module, ZoneId.class, ZoneId::of);
        module.addSerializer(TaskSet.class, new TaskSetSerializer());
        module.addDeserializer(TaskSet.class, new TextDeserializer<>(Json::parseTaskSet));
        module.addSerializer(Optional.class, new OptionalSerializer());
        module.addDeserializer(Optional.class, new OptionalDeserializer(null));
        return module;
    }

    private static <T> void addTextType(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new TextDeserializer<>(parse));
        module.addKeyDeserializer(type, new KeyDeserializer() {
            @Override
            public Object deserializeKey(String key, DeserializationContext context) {
                return parse.apply(key);
            }
        });
    }

    private static TaskSet parseTaskSet(String text) {
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
    private interface LogRecordMixIn {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = Target.TailLatency.class, name = "tail-latency"),
        @JsonSubTypes.Type(value = Target.FinishBy.class, name = "finish-by"),
        @JsonSubTypes.Type(value = Target.AlwaysOn.class, name = "always-on")
    })
    private interface TargetMixIn {}

    /** Deserializes a value from a string. */
    private static final class TextDeserializer<T> extends JsonDeserializer<T> {
        private final Function<String, T> parse;

        TextDeserializer(Function<String, T> parse) {
            this.parse = parse;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            String text = parser.getValueAsString();
            if (text == null) {
                throw JsonMappingException.from(parser, "expected a string");
            }
            try {
                return parse.apply(text);
            } catch (RuntimeException e) {
                throw JsonMappingException.from(parser, e.getMessage(), e);
            }
        }
    }

    /** Serializes a set of tasks as the base64 encoding of its bits. */
    private static final class TaskSetSerializer extends JsonSerializer<TaskSet> {
        @Override
        public void serialize(TaskSet value, JsonGenerator json, SerializerProvider provider) throws IOException {
            json.writeString(Base64.getEncoder().encodeToString(value.bits().toByteArray()));
        }
    }

    /** Serializes an empty value as null. */
    @SuppressWarnings("rawtypes")
    private static final class OptionalSerializer extends JsonSerializer<Optional> {
        @Override
        public void serialize(Optional value, JsonGenerator json, SerializerProvider provider) throws IOException {
            if (value.isPresent()) {
                provider.defaultSerializeValue(value.get(), json);
            } else {
                json.writeNull();
            }
        }
    }

    /** Deserializes null as an empty value. */
    @SuppressWarnings("rawtypes")
    private static final class OptionalDeserializer extends JsonDeserializer<Optional>
            implements ContextualDeserializer {
        private final JavaType contentType;

        OptionalDeserializer(JavaType contentType) {
            this.contentType = contentType;
        }

        @Override
        public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property) {
            JavaType type = context.getContextualType();
            return new OptionalDeserializer(type == null ? property.getType().containedType(0) : type.containedType(0));
        }

        @Override
        public Optional deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return Optional.of(context.<Object>readValue(parser, contentType));
        }

        @Override
        public Optional getNullValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
