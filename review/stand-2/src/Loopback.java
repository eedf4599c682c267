import java.util.concurrent.ThreadLocalRandom;

/** Loopback addresses that no other process is likely to use. Stateless. */
final class Loopback {
    private Loopback() {}

    static String address() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
    }
}
