package org.chestnutbarrow.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.TaskName;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.node.WorkerPort;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against calls and results that change on their way, and against bytes that end the reading thread. */
public class RelayCodecTest {
    private static final RelayCall.Target TARGET =
            new RelayCall.Target(new WorkerId("w1"), 17, new Address("10.0.0.1", 80));
    private static final TaskName TASK = new TaskName(new JobId("0123456789abcdef"), 2, 41);
    private static final Duration TIMEOUT = Duration.ofMillis(250);

    @DataProvider
    public Object[][] calls() {
        WorkerId worker = TARGET.worker();
        return new Object[][] {
            {new RelayCall.Hold(TARGET, 7, -1, 3, Duration.ofMillis(500), TIMEOUT)},
            {new RelayCall.Deliver(TARGET, new Order.Start(TASK, 3, worker, 17, "", "checkpoint"), 7, 99, TIMEOUT)},
            {new RelayCall.Deliver(TARGET, new Order.Stop(TASK, 3, worker, 17, "cancelled"), 7, -1, TIMEOUT)},
            {new RelayCall.Deliver(TARGET, new Order.SetCpuLimit(TASK, 3, worker, 17, 40), 7, -1, TIMEOUT)},
        };
    }

    @DataProvider
    public Object[][] results() {
        WorkerReport report = new WorkerReport(
                TARGET.worker(),
                17,
                List.of(new WorkerReport.Running(TASK, 3, 55, 12)),
                List.of(new WorkerReport.Ended(4, TASK, 2, WorkerReport.EndKind.FAILED, "checkpoint")));
        return new Object[][] {
            {new RelayResult.Answered(new WorkerPort.Done(123))},
            {new RelayResult.Answered(new WorkerPort.Refused(WorkerPort.Refusal.LATE))},
            {new RelayResult.Answered(new WorkerPort.StatusReport(report, 123))},
            {new RelayResult.NotSent("no route")},
            {new RelayResult.Unanswered("timed out")},
        };
    }

    @Test(dataProvider = "calls")
    public void callsAreReadAsWritten(Object call) throws InvalidInputException {
        assertEquals(RelayCodec.decodeCall(RelayCodec.encode((RelayCall) call)), call);
    }

    @Test(dataProvider = "results")
    public void resultsAreReadAsWritten(Object result) throws InvalidInputException {
        assertEquals(RelayCodec.decodeResult(RelayCodec.encode((RelayResult) result)), result);
    }

    @Test(dataProvider = "calls")
    public void cutCallsAreRefused(Object call) {
        byte[] bytes = RelayCodec.encode((RelayCall) call);
        for (int length = 0; length < bytes.length; length++) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThrows(InvalidInputException.class, () -> RelayCodec.decodeCall(cut));
        }
    }

    @Test
    public void randomBytesAreReadOrRefused() {
        Random random = new Random(20261205);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(60)];
            random.nextBytes(bytes);
            readOrRefuse(bytes);
        }
    }

    private static void readOrRefuse(byte[] bytes) {
        try {
            RelayCodec.decodeCall(bytes);
        } catch (InvalidInputException e) {
            assertEquals(e.getMessage().isEmpty(), false);
        }
        try {
            RelayCodec.decodeResult(bytes);
        } catch (InvalidInputException e) {
            assertEquals(e.getMessage().isEmpty(), false);
        }
    }
}
