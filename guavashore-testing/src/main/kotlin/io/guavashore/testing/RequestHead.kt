package io.guavashore.testing

/** Head of a request that a [ScriptedServer] received. */
class RequestHead internal constructor(
    val requestLine: String,
    private val fieldLines: List<String>,
) {
    /** Value of the first header field with this name, in any case; null if there is none. */
    operator fun get(name: String): String? =
        fieldLines
            .firstOrNull { it.substringBefore(':').equals(name, ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
}
