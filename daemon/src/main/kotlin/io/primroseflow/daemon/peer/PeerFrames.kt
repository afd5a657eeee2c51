package io.primroseflow.daemon.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Longest encoded frame, in bytes. */
private const val MAX_FRAME_BYTES = 32 * 1024 * 1024

/** Bytes of a frame's length. */
internal const val LENGTH_BYTES: Int = 4

/** A frame that does not follow the protocol between hosts. */
internal class PeerProtocolException(message: String) : Exception(message)

@OptIn(ExperimentalSerializationApi::class)
private val peerCbor = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
    useDefiniteLengthEncoding = true
}

/** Encodes [frame] without its length. */
internal fun encodeFrame(frame: PeerFrame): ByteArray =
    peerCbor.encodeToByteArray(PeerFrame.serializer(), frame)

/** Decodes a frame from its bytes without its length. */
internal fun decodeFrame(bytes: ByteArray): PeerFrame =
    peerCbor.decodeFromByteArray(PeerFrame.serializer(), bytes)

/** Writes [frame] and returns the number of bytes written. */
internal suspend fun ByteWriteChannel.writeFrame(frame: PeerFrame): Int {
    val bytes = encodeFrame(frame)
    writeInt(bytes.size)
    writeFully(bytes)
    flush()
    return bytes.size + LENGTH_BYTES
}

/**
 * Reads the next frame.
 *
 * @throws PeerProtocolException when the frame is too long
 */
internal suspend fun ByteReadChannel.readFrame(): PeerFrame {
    val size = readInt()
    if (size !in 1..MAX_FRAME_BYTES) throw PeerProtocolException("frame of $size bytes")
    return decodeFrame(readByteArray(size))
}
