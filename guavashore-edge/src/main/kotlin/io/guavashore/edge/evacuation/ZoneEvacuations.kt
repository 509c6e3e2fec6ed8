/*
 * Zones under evacuation as one VM knows them: nothing new may be sent to their targets.
 *
 * Load pattern: an operator takes a zone out of use while callers and training steps go on. The state changes rarely,
 * but every request asks for it at the moment of sending, so a lookup must not cost more than a hash. A VM that hears
 * neither from the store nor from a peer keeps the last known state: sending to an evacuated zone is worse than leaving
 * a zone unused for longer than needed.
 */
package io.guavashore.edge.evacuation

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.MonotonicClock
import io.guavashore.api.ZoneId
import io.guavashore.metrics.Metrics
import io.guavashore.platform.EntryChange
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Evacuations known to one VM. Not thread-safe. */
class ZoneEvacuations(
    private val clock: MonotonicClock,
    private val metrics: Metrics,
) {
    private class Evacuation(
        val revision: Long,
        val learntAtMs: Long,
    )

    private val evacuations = HashMap<ZoneId, Evacuation>()
    private var lastContactMs = clock()
    private var isLossLogged = false

    /** Zones to whose targets nothing new may be sent. */
    val zones: Set<ZoneId> get() = evacuations.keys

    init {
        metrics.gauge("zones.evacuated") { evacuations.size.toDouble() }
    }

    fun isEvacuated(zone: ZoneId): Boolean = zone in evacuations

    /** Applies changes of the operators' entries, each of which is named after its zone. */
    fun apply(changes: List<EntryChange>) =
        changes.forEach { change ->
            val zone = ZoneId(change.entry.name)
            if (change.deleted) takeBack(zone, change.entry.revision) else begin(zone, change.entry.revision)
        }

    /** A change of the status also arrives as a change of the entry; the evacuation goes on as before. */
    private fun begin(
        zone: ZoneId,
        revision: Long,
    ) {
        if (zone in evacuations) return
        evacuations[zone] = Evacuation(revision, clock())
        metrics.count("zone.evacuations", "zone" to zone.value, "change" to "begun")
        log.info { "zone evacuated: zone=$zone revision=$revision last_contact_ms=${clock() - lastContactMs}" }
    }

    private fun takeBack(
        zone: ZoneId,
        revision: Long,
    ) {
        val ended = evacuations.remove(zone) ?: return
        metrics.count("zone.evacuations", "zone" to zone.value, "change" to "taken_back")
        log.info {
            "zone no longer evacuated: zone=$zone revision=$revision begun_revision=${ended.revision} " +
                "known_for_ms=${clock() - ended.learntAtMs}"
        }
    }

    /** Logs once when [hasContact] has been false for [LOSS_MS], and when it is true again; runs until cancelled. */
    suspend fun watchContact(hasContact: () -> Boolean) {
        while (true) {
            recordContact(hasContact())
            delay(CHECK_INTERVAL_MS)
        }
    }

    internal fun recordContact(hasContact: Boolean) {
        val ageMs = clock() - lastContactMs
        if (hasContact) {
            if (isLossLogged) log.info { "evacuations confirmed again: zones=$zones after_ms=$ageMs" }
            isLossLogged = false
            lastContactMs = clock()
        } else if (!isLossLogged && ageMs >= LOSS_MS) {
            isLossLogged = true
            log.warn { "no contact with the store or a VM, evacuations as last known: zones=$zones age_ms=$ageMs" }
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 500L

        /** Longer than the time in which a failed store call or heartbeat is repeated. */
        const val LOSS_MS = 2_000L
    }
}
