/*
 * Identity of an item's request across batches. Item ids are chosen by callers, so items of other organisations and
 * other trainers may have the same id.
 */
package io.guavashore.edge.batches

import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/** Hash of an item's id, its organisation and all that determines its output; equal for the same item only. */
@JvmInline
@Serializable
value class RequestDigest(
    val value: String,
) {
    companion object {
        /** Digest of item [spec] of the batch [record]. */
        fun of(
            record: BatchRecord,
            spec: ItemSpec,
        ): RequestDigest {
            val model = record.model?.value.orEmpty()
            val request = listOf(spec.id.value, record.organisation.value, record.host, model, spec.path)
            val headers = spec.headers.map { (name, value) -> name.lowercase() to value }.sortedBy { it.first }
            val fields = request + spec.bodyBase64 + headers.flatMap { (name, value) -> listOf(name, value) }
            val hash = MessageDigest.getInstance("SHA-256")
            fields.map { it.encodeToByteArray() }.forEach { field ->
                // With its length, a field can't be taken for a part of its neighbours.
                hash.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(field.size).array())
                hash.update(field)
            }
            return RequestDigest(Base64.getEncoder().withoutPadding().encodeToString(hash.digest()))
        }
    }
}
