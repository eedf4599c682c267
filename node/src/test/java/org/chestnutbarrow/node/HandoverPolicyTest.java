package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests after which faults an owner offers its role, on made-up ages. */
public class HandoverPolicyTest {
    private static final Duration STEP = Duration.ofMillis(250);
    private static final Duration LONG = Duration.ofSeconds(20);

    private final HandoverPolicy policy = new HandoverPolicy();
    private long now = 1_000_000_000_000L;

    private static OwnerAbilities abilities(Duration inputsAge, Duration writeAge, Duration confirmationAge) {
        return new OwnerAbilities(inputsAge, writeAge, confirmationAge);
    }

    private static OwnerAbilities oldInputs(Duration age) {
        return abilities(age, Duration.ZERO, Duration.ZERO);
    }

    private Optional<OwnerAbilities.Lack> decideAfter(Duration delay, OwnerAbilities abilities) {
        now += delay.toNanos();
        return policy.decide(abilities, now);
    }

    /** Guards against an owner that keeps its role, although it cannot read or cannot write. */
    @Test
    public void eachAbilityIsRequired() {
        for (OwnerAbilities.Ability ability : OwnerAbilities.Ability.values()) {
            OwnerAbilities lacking = switch (ability) {
                case READ_INPUTS -> oldInputs(LONG);
                case WRITE_PROGRESS -> abilities(Duration.ZERO, LONG, Duration.ZERO);
            };
            HandoverPolicy fresh = new HandoverPolicy();
            assertEquals(fresh.decide(lacking, 0), Optional.empty());
            assertEquals(
                    fresh.decide(lacking, HandoverPolicy.PATIENCE.toNanos()),
                    Optional.of(new OwnerAbilities.Lack(ability, LONG)));
        }
    }

    /** Guards against a change of the owner for a fault that is over sooner than the change. */
    @Test
    public void shortFaultsDoNotAddUp() {
        for (int i = 0; i < 10; i++) {
            assertEquals(decideAfter(STEP, oldInputs(Duration.ofSeconds(4))), Optional.empty());
            assertEquals(decideAfter(HandoverPolicy.PATIENCE.minus(STEP), oldInputs(LONG)), Optional.empty());
            assertEquals(decideAfter(STEP, oldInputs(STEP)), Optional.empty());
        }
    }

    /** Guards against an owner that offers its role when the store, silent for all members until then, answers again. */
    @Test
    public void timeWithoutConfirmationDoesNotCount() {
        OwnerAbilities silent = abilities(LONG, LONG, HandoverPolicy.MAX_CONFIRMATION_AGE);
        assertEquals(decideAfter(STEP, silent), Optional.empty());
        assertEquals(decideAfter(LONG, silent), Optional.empty());
        assertEquals(decideAfter(STEP, oldInputs(LONG)), Optional.empty());
        assertEquals(decideAfter(HandoverPolicy.PATIENCE.minus(STEP), oldInputs(LONG)), Optional.empty());
        assertEquals(
                decideAfter(STEP, oldInputs(LONG)).map(OwnerAbilities.Lack::ability),
                Optional.of(OwnerAbilities.Ability.READ_INPUTS));
    }
}
