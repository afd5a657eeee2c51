package io.primroseflow.daemon.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import java.nio.ByteBuffer
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Maximum size of an encoded frame, in bytes. */
internal const val MAX_FRAME_BYTES: Int = 32 * 1024 * 1024

/** Size of the length that precedes an encoded frame, in bytes. */
internal const val LENGTH_BYTES: Int = 4

/** Thrown if another host violates the protocol between hosts. */
internal class PeerProtocolException(message: String) : Exception(message)

@OptIn(ExperimentalSerializationApi::class)
private val peerCbor = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
    useDefiniteLengthEncoding = true
}

/** Encodes [frame], without the length that precedes it on a connection. */
internal fun encodeFrame(frame: PeerFrame): ByteArray =
    peerCbor.encodeToByteArray(PeerFrame.serializer(), frame)

/**
 * Decodes a frame from [bytes], without the length that precedes it on a connection.
 *
 * @throws kotlinx.serialization.SerializationException if [bytes] are not a valid frame
 */
internal fun decodeFrame(bytes: ByteArray): PeerFrame =
    peerCbor.decodeFromByteArray(PeerFrame.serializer(), bytes)

/** Returns the length that precedes [frame] on a connection. */
internal fun lengthOf(frame: ByteArray): ByteArray =
    ByteBuffer.allocate(LENGTH_BYTES).putInt(frame.size).array()

/**
 * Reads the next frame.
 *
 * @throws PeerProtocolException if the length of the frame is out of range
 * @throws kotlinx.serialization.SerializationException if the frame is malformed
 */
internal suspend fun ByteReadChannel.readFrame(): PeerFrame = decodeFrame(readFrameBytes())

/**
 * Reads the bytes of the next frame, to be decoded by [decodeFrame].
 *
 * @throws PeerProtocolException if the length of the frame is out of range
 */
internal suspend fun ByteReadChannel.readFrameBytes(): ByteArray {
    val size = readInt()
    if (size !in
        1..MAX_FRAME_BYTES
    ) {
        throw PeerProtocolException("frame length $size is not in 1..$MAX_FRAME_BYTES")
    }
    return readByteArray(size)
}
