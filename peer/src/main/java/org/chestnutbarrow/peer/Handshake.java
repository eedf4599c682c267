package org.chestnutbarrow.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.chestnutbarrow.model.DaemonId;

/**
 * The frames with which both sides of a connection prove that they know the shared key. Safe for use by several threads.
 *
 * <p>The connecting side sends Hello with its nonce; the accepting side answers with Challenge, its own nonce and a
 * proof; the connecting side ends with Proof. A proof is HMAC-SHA256 (RFC 2104) over the role of its sender, both
 * identities and both nonces, so that it fits one connection and one direction only.
 */
final class Handshake {
    /** Most bytes of a frame before the other side has proved that it knows the key. */
    static final int MAX_FRAME_BYTES = 1024;

    static final int NONCE_BYTES = 32;

    private static final int HELLO = 1;
    private static final int CHALLENGE = 2;
    private static final int PROOF = 3;
    private static final int HELLO_FIELDS = 5;
    private static final int CHALLENGE_FIELDS = 6;
    private static final int PROOF_FIELDS = 3;
    private static final String ALGORITHM = "HmacSHA256";

    private final SecureRandom random = new SecureRandom();
    private final SecretKeySpec key;
    private final DaemonId self;
    private final long incarnation;

    Handshake(byte[] key, DaemonId self, long incarnation) {
        this.key = new SecretKeySpec(key, ALGORITHM);
        this.self = self;
        this.incarnation = incarnation;
    }

    /** Which side opened the connection. */
    private enum Role {
        CONNECTS,
        ACCEPTS
    }

    /** Who a side says it is, and the random value that it chose for this connection. */
    record Party(DaemonId daemon, long incarnation, byte[] nonce) {}

    Party newParty() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return new Party(self, incarnation, nonce);
    }

    byte[] hello(Party self) {
        return party(HELLO, HELLO_FIELDS, self).toBytes();
    }

    Party readHello(byte[] frame) throws FrameException {
        FieldReader from = start(frame, HELLO, HELLO_FIELDS);
        Party party = readParty(from);
        from.end();
        return party;
    }

    byte[] challenge(Party connecting, Party accepting) {
        return party(CHALLENGE, CHALLENGE_FIELDS, accepting)
                .bytes(proof(Role.ACCEPTS, connecting, accepting))
                .toBytes();
    }

    /** The accepting side, once its proof is found right. */
    Party readChallenge(byte[] frame, Party connecting) throws FrameException {
        FieldReader from = start(frame, CHALLENGE, CHALLENGE_FIELDS);
        Party accepting = readParty(from);
        check(from.bytes(), proof(Role.ACCEPTS, connecting, accepting));
        from.end();
        return accepting;
    }

    byte[] proof(Party connecting, Party accepting) {
        return new FieldWriter()
                .array(PROOF_FIELDS)
                .number(PROOF)
                .number(PeerCodec.NO_ANSWER)
                .bytes(proof(Role.CONNECTS, connecting, accepting))
                .toBytes();
    }

    void checkProof(byte[] frame, Party connecting, Party accepting) throws FrameException {
        FieldReader from = start(frame, PROOF, PROOF_FIELDS);
        check(from.bytes(), proof(Role.CONNECTS, connecting, accepting));
        from.end();
    }

    private static FieldWriter party(int type, int fields, Party party) {
        return new FieldWriter()
                .array(fields)
                .number(type)
                .number(PeerCodec.NO_ANSWER)
                .text(party.daemon().value())
                .number(party.incarnation())
                .bytes(party.nonce());
    }

    private static FieldReader start(byte[] frame, int type, int fields) throws FrameException {
        FieldReader from = new FieldReader(frame);
        from.array(fields);
        if (from.number() != type || from.number() != PeerCodec.NO_ANSWER) {
            throw new FrameException("a message came before the handshake was complete");
        }
        return from;
    }

    private static Party readParty(FieldReader from) throws FrameException {
        try {
            Party party = new Party(new DaemonId(from.text()), from.number(), from.bytes());
            if (party.nonce().length != NONCE_BYTES) {
                throw new FrameException("nonce must have " + NONCE_BYTES + " bytes");
            }
            return party;
        } catch (IllegalArgumentException e) {
            throw new FrameException("identity is malformed: " + e.getMessage(), e);
        }
    }

    private static void check(byte[] given, byte[] expected) throws FrameException {
        if (!MessageDigest.isEqual(given, expected)) {
            throw new FrameException("the other side does not know the shared key");
        }
    }

    private byte[] proof(Role role, Party connecting, Party accepting) {
        FieldWriter signed = new FieldWriter().name(role);
        for (Party party : new Party[] {connecting, accepting}) {
            signed.text(party.daemon().value()).number(party.incarnation()).bytes(party.nonce());
        }
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(signed.toBytes());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
