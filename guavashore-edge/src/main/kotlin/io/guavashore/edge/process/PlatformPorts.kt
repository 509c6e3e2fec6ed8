/*
 * Interface between the edge and the platform that it runs on. An adapter provides the implementations.
 */
package io.guavashore.edge.process

import com.github.michaelbull.result.Result
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.duties.CoordinatorPort
import io.guavashore.edge.front.CallerProtocol
import io.guavashore.edge.targets.DecodeTarget
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.platform.CallStore
import io.guavashore.platform.CollectionName
import io.guavashore.platform.StoredEntry

/** Collections in the store that operators, trainers, targets and VMs write. All VMs follow them. */
object SharedCollections {
    /** Holds a single object, named [DECLARATION_NAME]. */
    val DECLARATION = CollectionName("declaration")
    val TARGETS = CollectionName("targets")

    /** Versions of the weights that trainers have published. */
    val PUBLISHED_VERSIONS = CollectionName("named-versions")

    /** Storage VMs that operators want to retire once they are empty. */
    val RETIREMENTS = CollectionName("retirements")

    /** Zones whose targets operators want to be sent nothing; an object is named after its zone. */
    val EVACUATIONS = CollectionName("evacuations")

    /** VMs of the system; each VM writes its own entry. */
    val VMS = CollectionName("vms")

    /** Name of the only object of [DECLARATION]. */
    const val DECLARATION_NAME = "main"
}

/** Version of a model's weights that its trainer has published. */
data class PublishedVersion(
    val model: ModelId,
    val version: Long,
)

/** Functions that the edge needs from the platform. */
class PlatformPorts(
    val store: CallStore,
    val decodeDeclaration: (StoredEntry) -> Result<EdgeDeclaration, String>,
    val decodeTarget: DecodeTarget,
    val decodePublishedVersion: (StoredEntry) -> PublishedVersion?,
    /** Status written to the entry of a storage VM or of an evacuated zone; it shows operators that it is empty. */
    val emptiedStatus: String,
    val callers: CallerProtocol,
    val targets: TargetProtocol,
    val coordinatorPort: CoordinatorPort,
)
