package org.chestnutbarrow.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Writes lines in pieces, each with one write, and counts the lines that the output does not take. Not safe for use by
 * several threads.
 *
 * <p>Invariants: a piece holds whole lines only and at most {@link #MAX_PIECE_BYTES}; after a failed write, which may
 * have written a part of a line, the next piece begins with a line break.
 */
final class LineWriter {
    /**
     * Size up to which Linux writes to a pipe in one piece (PIPE_BUF). Readers have cut writes of more than 8 KB in the
     * middle of a line.
     */
    static final int MAX_PIECE_BYTES = 4096;
    /** End of a line that is longer than a piece. */
    private static final byte[] CUT_MARK = " [cut]\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * Numbers of lines that are missing from the output.
     *
     * @param lines lines below warning level
     * @param warnings warnings and errors
     */
    record Missing(long lines, long warnings) {
        static final Missing NONE = new Missing(0, 0);

        Missing plus(Missing other) {
            return new Missing(lines + other.lines, warnings + other.warnings);
        }

        boolean any() {
            return lines + warnings > 0;
        }
    }

    private final OutputStream out;
    private final ByteArrayOutputStream piece = new ByteArrayOutputStream(MAX_PIECE_BYTES);
    /** Lines of the current piece. */
    private Missing pending = Missing.NONE;
    /** Lines of pieces that the output has not taken. */
    private Missing missing = Missing.NONE;
    /** Whether the last write failed. */
    private boolean failed;

    LineWriter(OutputStream out) {
        this.out = out;
    }

    /** Returns the numbers of lines that the output has not taken since the last call. */
    Missing takeMissing() {
        Missing taken = missing;
        missing = Missing.NONE;
        return taken;
    }

    /** Adds a line, which ends with a line break; one longer than a piece is cut. */
    void add(String line, boolean warning) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        if (piece.size() + bytes.length > MAX_PIECE_BYTES) {
            flush();
        }
        if (failed && piece.size() == 0) {
            piece.write('\n');
        }
        int room = MAX_PIECE_BYTES - piece.size();
        if (bytes.length <= room) {
            piece.writeBytes(bytes);
        } else {
            piece.write(bytes, 0, characterBoundary(bytes, room - CUT_MARK.length));
            piece.writeBytes(CUT_MARK);
        }
        pending = pending.plus(warning ? new Missing(0, 1) : new Missing(1, 0));
    }

    /** Returns the last position up to {@code end} that does not divide a character in UTF-8. */
    private static int characterBoundary(byte[] bytes, int end) {
        int boundary = end;
        while ((bytes[boundary] & 0xC0) == 0x80) {
            boundary--;
        }
        return boundary;
    }

    /** Writes the current piece. */
    void flush() {
        if (piece.size() == 0) {
            return;
        }
        try {
            out.write(piece.toByteArray());
            out.flush();
            failed = false;
        } catch (IOException e) {
            failed = true;
            missing = missing.plus(pending);
        }
        piece.reset();
        pending = Missing.NONE;
    }

    void close() throws IOException {
        out.close();
    }
}
