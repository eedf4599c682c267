package org.chestnutbarrow.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.function.Supplier;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.chestnutbarrow.model.DaemonId;

/**
 * The frames by which both sides of a connection prove knowledge of the shared key. Thread-safe.
 *
 * <p>The connecting side sends Hello with its nonce; the accepting side replies with Challenge, which holds its own
 * nonce and a proof; the connecting side completes the handshake with Proof. A proof is an HMAC-SHA256 (RFC 2104) over
 * the role of its sender, both identities and both nonces, so that it is valid for one connection and one direction
 * only.
 */
final class Handshake {
    /** Maximum size of a frame in bytes until the remote side has proved that it knows the key. */
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
    private final Supplier<byte[]> key;
    private final DaemonId self;
    private final long incarnation;

    Handshake(byte[] key, DaemonId self, long incarnation) {
        this(() -> key, self, incarnation);
    }

    /** Creates the handshakes of a daemon; {@code key} returns the shared key that is valid at the time of a proof. */
    Handshake(Supplier<byte[]> key, DaemonId self, long incarnation) {
        this.key = key;
        this.self = self;
        this.incarnation = incarnation;
    }

    /** The role of a side; the names are part of the input of the proof. */
    private enum Role {
        CONNECTS,
        ACCEPTS
    }

    /** The identity that a side claims, and the random nonce that it chose for this connection. */
    record Party(DaemonId daemon, long incarnation, byte[] nonce) {}

    Party newParty() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return new Party(self, incarnation, nonce);
    }

    byte[] hello(Party self) {
        return writeParty(HELLO, HELLO_FIELDS, self).toBytes();
    }

    Party readHello(byte[] frame) throws FrameException {
        FieldReader reader = readHeader(frame, HELLO, HELLO_FIELDS);
        Party party = readParty(reader);
        reader.expectEnd();
        return party;
    }

    byte[] challenge(Party connecting, Party accepting) throws FrameException {
        return writeParty(CHALLENGE, CHALLENGE_FIELDS, accepting)
                .writeBytes(computeProof(Role.ACCEPTS, connecting, accepting))
                .toBytes();
    }

    /** Reads a challenge, verifies its proof and returns the accepting side. */
    Party readChallenge(byte[] frame, Party connecting) throws FrameException {
        FieldReader reader = readHeader(frame, CHALLENGE, CHALLENGE_FIELDS);
        Party accepting = readParty(reader);
        verify(reader.readBytes(), computeProof(Role.ACCEPTS, connecting, accepting));
        reader.expectEnd();
        return accepting;
    }

    byte[] proof(Party connecting, Party accepting) throws FrameException {
        return new FieldWriter()
                .writeArrayHeader(PROOF_FIELDS)
                .writeLong(PROOF)
                .writeLong(PeerCodec.NO_RESPONSE)
                .writeBytes(computeProof(Role.CONNECTS, connecting, accepting))
                .toBytes();
    }

    void verifyProof(byte[] frame, Party connecting, Party accepting) throws FrameException {
        FieldReader reader = readHeader(frame, PROOF, PROOF_FIELDS);
        verify(reader.readBytes(), computeProof(Role.CONNECTS, connecting, accepting));
        reader.expectEnd();
    }

    private static FieldWriter writeParty(int type, int fields, Party party) {
        return new FieldWriter()
                .writeArrayHeader(fields)
                .writeLong(type)
                .writeLong(PeerCodec.NO_RESPONSE)
                .writeString(party.daemon().value())
                .writeLong(party.incarnation())
                .writeBytes(party.nonce());
    }

    private static FieldReader readHeader(byte[] frame, int type, int fields) throws FrameException {
        FieldReader reader = new FieldReader(frame);
        reader.expectArrayHeader(fields);
        if (reader.readLong() != type || reader.readLong() != PeerCodec.NO_RESPONSE) {
            throw new FrameException("unexpected message during the handshake");
        }
        return reader;
    }

    private static Party readParty(FieldReader reader) throws FrameException {
        try {
            Party party = new Party(new DaemonId(reader.readString()), reader.readLong(), reader.readBytes());
            if (party.nonce().length != NONCE_BYTES) {
                throw new FrameException("nonce must have " + NONCE_BYTES + " bytes");
            }
            return party;
        } catch (IllegalArgumentException e) {
            throw new FrameException("malformed identity: " + e.getMessage(), e);
        }
    }

    private static void verify(byte[] actual, byte[] expected) throws FrameException {
        if (!MessageDigest.isEqual(actual, expected)) {
            throw new FrameException("proof does not match the shared key");
        }
    }

    private byte[] computeProof(Role role, Party connecting, Party accepting) throws FrameException {
        byte[] currentKey = key.get();
        if (currentKey.length == 0) {
            throw new FrameException("the shared key is not known yet");
        }
        FieldWriter macInput = new FieldWriter().writeEnum(role);
        for (Party party : new Party[] {connecting, accepting}) {
            macInput.writeString(party.daemon().value())
                    .writeLong(party.incarnation())
                    .writeBytes(party.nonce());
        }
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(currentKey, ALGORITHM));
            return mac.doFinal(macInput.toBytes());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("missing algorithm that every Java platform must support: " + ALGORITHM, e);
        }
    }
}
