/*
 * Frame format: the body's length in four bytes, then the body, a message in CBOR.
 */
package io.guavashore.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.cbor.Cbor

/** Max length of a frame's body, in bytes. */
const val MAX_FRAME_BYTES = 4_194_304

internal val cbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

/** Encodes [message] as the body of a frame or datagram. */
fun <T> encodeBody(
    serializer: SerializationStrategy<T>,
    message: T,
): ByteArray = cbor.encodeToByteArray(serializer, message)

/** Decodes the body of a frame or datagram; returns an error for invalid input and never throws. */
fun <T> decodeBody(
    serializer: DeserializationStrategy<T>,
    bytes: ByteArray,
): Result<T, WireError> =
    try {
        Ok(cbor.decodeFromByteArray(serializer, bytes))
    } catch (e: IllegalArgumentException) {
        Err(WireError.BadFrame(e.javaClass.simpleName))
    } catch (e: IllegalStateException) {
        Err(WireError.BadFrame(e.javaClass.simpleName))
    } catch (e: IndexOutOfBoundsException) {
        Err(WireError.BadFrame(e.javaClass.simpleName))
    } catch (e: NegativeArraySizeException) {
        Err(WireError.BadFrame(e.javaClass.simpleName))
    }

/** Writes one frame and flushes it. */
suspend fun ByteWriteChannel.writeFrame(message: ControlMessage) {
    val body = encodeBody(ControlMessage.serializer(), message)
    check(body.size <= MAX_FRAME_BYTES) { "frame of ${body.size} bytes exceeds the limit of $MAX_FRAME_BYTES bytes" }
    writeInt(body.size)
    writeByteArray(body)
    flush()
}

/** Reads one frame. Throws the channel's exception if the channel is closed. */
suspend fun ByteReadChannel.readFrame(): Result<ControlMessage, WireError> {
    val length = readInt()
    if (length !in 1..MAX_FRAME_BYTES) return Err(WireError.BadLength(length))
    return decodeBody(ControlMessage.serializer(), readByteArray(length))
}
