/*
 * Rendezvous hashing: all processes with the same member list compute the same owners, and adding or removing a
 * member moves only the keys that this member owns.
 *
 * The hash is FNV-1a over UTF-16 code units, followed by the 64-bit finalizer of MurmurHash3.
 */
package io.guavashore.api

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_1 = -49064778989728563L
private const val MIX_2 = -4265267296055464877L
private const val MIX_SHIFT = 33

/** Orders [members] by their rank for [key]; the first is the owner. */
fun <M> rendezvousRank(
    key: String,
    members: Collection<M>,
): List<M> = members.sortedByDescending { stableHash("$key/$it") }

/** Hash of [text] that is the same in every process and in every version of guavashore. */
fun stableHash(text: String): Long {
    var hash = FNV_OFFSET
    text.forEach { hash = (hash xor it.code.toLong()) * FNV_PRIME }
    hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_1
    hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_2
    return hash xor (hash ushr MIX_SHIFT)
}
