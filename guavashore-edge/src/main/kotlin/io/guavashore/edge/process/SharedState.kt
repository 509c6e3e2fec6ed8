/*
 * This VM's decoded copy of the shared collections.
 */
package io.guavashore.edge.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.platform.CollectionName
import io.guavashore.platform.EntryChange

private val log = KotlinLogging.logger {}

/** Declaration, targets and published versions as last received. Not thread-safe. */
class SharedState(
    private val ports: PlatformPorts,
    private val directory: TargetDirectory,
) {
    private val published = HashMap<ModelId, Long>()
    private val listeners = ArrayList<(CollectionName) -> Unit>()

    /** Declaration in force on this VM, or null until one has been received. */
    var declaration: EdgeDeclaration? = null
        private set

    /** Newest version of each model that its trainer has published. */
    val publishedVersions: Map<ModelId, Long> get() = published

    /** True if [target] serves no models, so that all VMs send requests to it. */
    fun hasPlainService(target: TargetId): Boolean {
        val service = directory[target]?.service ?: return false
        val spec = declaration?.services?.get(service) ?: return false
        return spec.engine == null
    }

    /** Calls [listener] with the changed collection after each [apply]. */
    fun onChange(listener: (CollectionName) -> Unit) {
        listeners += listener
    }

    /** Decodes and applies [changes] of [collection]; unreadable entries are logged and skipped. */
    fun apply(
        collection: CollectionName,
        changes: List<EntryChange>,
    ) {
        changes.forEach { change ->
            when (collection) {
                SharedCollections.DECLARATION -> applyDeclaration(change)
                SharedCollections.TARGETS -> directory.apply(change)
                SharedCollections.PUBLISHED_VERSIONS -> applyPublishedVersion(change)
                else -> Unit
            }
        }
        listeners.forEach { it(collection) }
    }

    private fun applyDeclaration(change: EntryChange) {
        if (change.deleted || change.entry.name != SharedCollections.DECLARATION_NAME) return
        val decoded = ports.decodeDeclaration(change.entry)
        if (decoded.isErr) {
            return log.error {
                "declaration invalid, keeping the previous one: revision=${change.entry.revision} " +
                    "cause=${decoded.error}"
            }
        }
        val incoming = decoded.value
        val previous = declaration
        if (previous != null && incoming.version < previous.version) {
            return log.warn { "older declaration ignored: version=${incoming.version} in_force=${previous.version}" }
        }
        declaration = incoming
        log.info {
            "declaration adopted: version=${incoming.version} revision=${change.entry.revision} " +
                "routes=${incoming.routes.size} keys=${incoming.organisationByKey.size} " +
                "requires_keys=${incoming.requiresKeys}"
        }
    }

    private fun applyPublishedVersion(change: EntryChange) {
        if (change.deleted) return
        val decoded = ports.decodePublishedVersion(change.entry)
        if (decoded == null) {
            return log.warn {
                "published version unreadable: name=${change.entry.name} revision=${change.entry.revision}"
            }
        }
        if (decoded.version <= (published[decoded.model] ?: 0)) return
        published[decoded.model] = decoded.version
        log.info {
            "version published: model=${decoded.model} version=${decoded.version} revision=${change.entry.revision}"
        }
    }
}
