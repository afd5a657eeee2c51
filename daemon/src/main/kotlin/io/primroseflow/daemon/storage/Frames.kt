package io.primroseflow.daemon.storage

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/**
 * Marks the start of each frame, so that valid frames can be found after a damaged one. If there
 * are any, the damage is corruption and not a torn last write.
 */
private const val MAGIC = 0x50664C67

/** Size of magic number, length and checksum, in bytes. */
internal const val FRAME_HEADER_SIZE: Int = 12

/** Maximum size of the content of a frame, in bytes. */
internal const val MAX_FRAME_SIZE: Int = 256 * 1024 * 1024

/** Returns a frame: magic number, length and checksum, followed by [content]. */
internal fun encodeFrame(content: ByteArray): ByteArray {
    require(content.size <= MAX_FRAME_SIZE) {
        "frame of ${content.size} bytes exceeds the maximum of $MAX_FRAME_SIZE bytes"
    }
    val frame = ByteBuffer.allocate(FRAME_HEADER_SIZE + content.size)
    frame.putInt(MAGIC).putInt(content.size).putInt(checksum(content)).put(content)
    return frame.array()
}

/** The result of reading the frames of a file. */
internal sealed interface FrameScan {
    /**
     * All frames are valid, except for a last write that a crash may have cut short.
     *
     * @property contents contents of the valid frames, in order
     * @property end offset in bytes after the last valid frame
     */
    class Valid(val contents: List<ByteArray>, val end: Int) : FrameScan

    /**
     * A damaged frame precedes a valid one, so a crash during the last write is not the cause.
     *
     * @property offset offset of the damaged frame, in bytes
     */
    class Corrupt(val offset: Int) : FrameScan
}

/** Reads the frames of a file with the content [file]. */
internal fun scanFrames(file: ByteArray): FrameScan {
    val contents = ArrayList<ByteArray>()
    var position = 0
    while (position < file.size) {
        val content = frameAtOrNull(file, position)
        if (content == null) {
            val isTorn = !hasFrameAtOrAfter(file, position + 1)
            return if (isTorn) {
                FrameScan.Valid(
                    contents,
                    position
                )
            } else {
                FrameScan.Corrupt(position)
            }
        }
        contents += content
        position += FRAME_HEADER_SIZE + content.size
    }
    return FrameScan.Valid(contents, position)
}

private fun hasFrameAtOrAfter(file: ByteArray, start: Int): Boolean =
    (start..file.size - FRAME_HEADER_SIZE).any { frameAtOrNull(file, it) != null }

private fun frameAtOrNull(file: ByteArray, position: Int): ByteArray? {
    if (file.size - position < FRAME_HEADER_SIZE) return null
    val header = ByteBuffer.wrap(file, position, FRAME_HEADER_SIZE)
    if (header.int != MAGIC) return null
    val length = header.int
    val expected = header.int
    if (length < 0 || length > file.size - position - FRAME_HEADER_SIZE) return null
    val start = position + FRAME_HEADER_SIZE
    val content = file.copyOfRange(start, start + length)
    return content.takeIf { checksum(it) == expected }
}

private fun checksum(content: ByteArray): Int {
    val crc = CRC32C()
    crc.update(content)
    return crc.value.toInt()
}
