/*
 * Everything that the edge needs of the platform it runs on. An adapter fills these in.
 */
package io.guavashore.edge.process

import com.github.michaelbull.result.Result
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.duties.CoordinatorPort
import io.guavashore.edge.front.CallerProtocol
import io.guavashore.edge.targets.DecodeTarget
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.platform.CallStore
import io.guavashore.platform.Collection
import io.guavashore.platform.StoredEntry

/** Collections that operators, trainers and targets write. */
object SharedCollections {
    /** Holds one object, [DECLARATION_NAME]. */
    val DECLARATION = Collection("declaration")
    val TARGETS = Collection("targets")
    val PUBLISHED_VERSIONS = Collection("named-versions")

    /** Storage VMs that are to be emptied. */
    val RETIREMENTS = Collection("retirements")

    /** VMs of the system; written by themselves. */
    val VMS = Collection("vms")

    /** Name of the only object of [DECLARATION]. */
    const val DECLARATION_NAME = "main"
}

/** Version of a model's weights that its trainer has named. */
data class PublishedVersion(
    val model: ModelId,
    val version: Long,
)

/** The platform, as the edge uses it. */
class PlatformPorts(
    val store: CallStore,
    val decodeDeclaration: (StoredEntry) -> Result<EdgeDeclaration, String>,
    val decodeTarget: DecodeTarget,
    val decodePublishedVersion: (StoredEntry) -> PublishedVersion?,
    /** Status that tells operators that a storage VM is empty. */
    val emptiedStatus: String,
    val callers: CallerProtocol,
    val targets: TargetProtocol,
    val duties: CoordinatorPort,
)
