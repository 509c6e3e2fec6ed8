/*
 * What this VM believes of the shared collections, decoded.
 */
package io.guavashore.edge.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.platform.Collection
import io.guavashore.platform.EntryChange

private val log = KotlinLogging.logger {}

/** Decoded copies of the shared collections. Not thread-safe. */
class Beliefs(
    private val ports: PlatformPorts,
    private val directory: TargetDirectory,
) {
    private val named = HashMap<ModelId, Long>()
    private val listeners = ArrayList<(Collection) -> Unit>()

    /** The declaration in force here, or null while none is known. */
    var declaration: EdgeDeclaration? = null
        private set

    /** Newest version of each model that its trainer has named. */
    val namedVersions: Map<ModelId, Long> get() = named

    /** Calls [listener] after each change that mattered. */
    fun onChange(listener: (Collection) -> Unit) {
        listeners += listener
    }

    /** Applies changes of [collection]. */
    fun apply(
        collection: Collection,
        changes: List<EntryChange>,
    ) {
        changes.forEach { change ->
            when (collection) {
                SharedCollections.DECLARATION -> adopt(change)
                SharedCollections.TARGETS -> directory.apply(change)
                SharedCollections.PUBLISHED_VERSIONS -> name(change)
                else -> Unit
            }
        }
        listeners.forEach { it(collection) }
    }

    private fun adopt(change: EntryChange) {
        if (change.deleted || change.entry.name != SharedCollections.DECLARATION_NAME) return
        val decoded = ports.decodeDeclaration(change.entry)
        if (decoded.isErr) {
            return log.error {
                "declaration unusable, the last one stays: revision=${change.entry.revision} cause=${decoded.error}"
            }
        }
        val fresh = decoded.value
        val before = declaration
        if (before != null && fresh.version < before.version) {
            return log.warn { "older declaration ignored: version=${fresh.version} in_force=${before.version}" }
        }
        declaration = fresh
        log.info {
            "declaration adopted: version=${fresh.version} revision=${change.entry.revision} " +
                "routes=${fresh.routes.size} keys=${fresh.organisationByKey.size}"
        }
    }

    private fun name(change: EntryChange) {
        if (change.deleted) return
        val decoded = ports.decodePublishedVersion(change.entry)
        if (decoded == null) {
            return log.warn { "named version unreadable: name=${change.entry.name} revision=${change.entry.revision}" }
        }
        if (decoded.version <= (named[decoded.model] ?: 0)) return
        named[decoded.model] = decoded.version
        log.info {
            "version named: model=${decoded.model} version=${decoded.version} revision=${change.entry.revision}"
        }
    }
}
