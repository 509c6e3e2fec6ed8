/*
 * Reads a team's declaration and checks the references between its sections.
 */
package io.guavashore.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.guavashore.api.Declaration
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.PoolDeclaration
import io.guavashore.api.PoolId
import io.guavashore.api.PoolZoneDeclaration
import io.guavashore.api.ServiceDeclaration
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.TrainerDeclaration
import io.guavashore.api.TrainerId
import io.guavashore.api.ZoneId

/** Reads a declaration from TOML [text], or returns all its errors. */
fun readDeclaration(text: String): Result<Declaration, List<SettingsError>> {
    val errors = SettingsErrors()
    val reader = readToml(text, declarationSection, errors)
    val declaration =
        Declaration(
            team = TeamId(reader[TeamFields.team].orEmpty()),
            policy = checkNotNull(reader[TeamFields.policy]),
            usageWindowMs = checkNotNull(reader[TeamFields.usageWindowMs]),
            drainedTargets = reader[TeamFields.drainedTargets].orEmpty().map(::TargetId).toSet(),
            organisations =
                reader.namedTables("organisations").map { (name, fields) -> readOrganisation(name, fields) },
            keys = reader.namedTables("keys").map { (name, fields) -> readKey(name, fields) },
            pools = reader.namedTables("pools").mapNotNull { (name, fields) -> readPool(name, fields) },
            services = reader.namedTables("services").mapNotNull { (name, fields) -> readService(name, fields) },
            trainers = reader.namedTables("trainers").map { (name, fields) -> readTrainer(name, fields) },
        )
    checkReferences(declaration, reader)
    return if (errors.list.isEmpty()) Ok(declaration) else Err(errors.list)
}

private fun readOrganisation(
    name: String,
    reader: SectionReader,
) = OrganisationDeclaration(
    id = OrganisationId(name),
    requestsPerS = checkNotNull(reader[OrganisationFields.requestsPerS]),
    concurrentRequests = checkNotNull(reader[OrganisationFields.concurrentRequests]).toInt(),
    tokensPerS = checkNotNull(reader[OrganisationFields.tokensPerS]),
    weight = checkNotNull(reader[OrganisationFields.weight]).toInt(),
    isolation = checkNotNull(reader[OrganisationFields.isolation]),
    isolationGraceMs = checkNotNull(reader[OrganisationFields.isolationGraceMs]),
)

private fun readKey(
    name: String,
    reader: SectionReader,
) = KeyDeclaration(
    id = KeyId(name),
    organisation = OrganisationId(reader[KeyFields.organisation].orEmpty()),
    secretSha256 = reader[KeyFields.secretSha256].orEmpty(),
    withdrawn = checkNotNull(reader[KeyFields.withdrawn]),
)

private fun readPool(
    name: String,
    reader: SectionReader,
): PoolDeclaration? {
    val zones =
        reader.namedTables("zones").map { (zone, fields) ->
            val minTargets = checkNotNull(fields[PoolZoneFields.minTargets]).toInt()
            val maxTargets = checkNotNull(fields[PoolZoneFields.maxTargets]).toInt()
            if (minTargets > maxTargets) fields.reportError("min_targets", "must not be above max_targets, $maxTargets")
            PoolZoneDeclaration(ZoneId(zone), minTargets, maxTargets, checkNotNull(fields[PoolZoneFields.preferCheap]))
        }
    val kind = reader[PoolFields.kind]
    val slots = checkNotNull(reader[PoolFields.slotsPerTarget]).toInt()
    val reserved = checkNotNull(reader[PoolFields.reservedPublicSlots]).toInt()
    if (reserved >= slots) reader.reportError("reserved_public_slots", "must be below slots_per_target, $slots")
    return kind?.let { PoolDeclaration(PoolId(name), it, slots, reserved, zones) }
}

private fun readService(
    name: String,
    reader: SectionReader,
): ServiceDeclaration? {
    val kind = reader[ServiceFields.kind]
    val service =
        ServiceDeclaration(
            id = ServiceId(name),
            kind = kind ?: TargetKind.PLAIN,
            pool = PoolId(reader[ServiceFields.pool].orEmpty()),
            open = checkNotNull(reader[ServiceFields.open]),
            idempotentPosts = checkNotNull(reader[ServiceFields.idempotentPosts]),
            timeoutMs = checkNotNull(reader[ServiceFields.timeoutMs]),
            maxRequestBytes = checkNotNull(reader[ServiceFields.maxRequestBytes]),
            maxResponseBytes = checkNotNull(reader[ServiceFields.maxResponseBytes]),
        )
    return service.takeIf { kind != null }
}

private fun readTrainer(
    name: String,
    reader: SectionReader,
) = TrainerDeclaration(
    id = TrainerId(name),
    organisation = OrganisationId(reader[TrainerFields.organisation].orEmpty()),
    service = ServiceId(reader[TrainerFields.service].orEmpty()),
    scorer = reader[TrainerFields.scorer]?.takeIf { it.isNotEmpty() }?.let(::ServiceId),
    maxStalenessVersions = checkNotNull(reader[TrainerFields.maxStalenessVersions]),
    maxSamplesPerStep = checkNotNull(reader[TrainerFields.maxSamplesPerStep]).toInt(),
)

private fun checkReferences(
    declaration: Declaration,
    reader: SectionReader,
) {
    fun checkOrganisation(
        path: String,
        id: OrganisationId,
    ) {
        if (id.value.isNotEmpty() && declaration.organisation(id) == null) {
            reader.reportError("$path.organisation", "organisation \"$id\" is not declared; add [organisations.$id]")
        }
    }
    declaration.keys.forEach { checkOrganisation("keys.${it.id}", it.organisation) }
    declaration.trainers.forEach { checkOrganisation("trainers.${it.id}", it.organisation) }
    declaration.services.forEach { service ->
        val pool = declaration.pool(service.pool)
        if (service.pool.value.isNotEmpty() && pool == null) {
            reader.reportError(
                "services.${service.id}.pool",
                "pool \"${service.pool}\" is not declared; add [pools.${service.pool}]",
            )
        }
        if (pool != null && pool.kind != service.kind) {
            reader.reportError("services.${service.id}.kind", "must equal the kind of pool ${pool.id}")
        }
    }
    declaration.trainers.forEach { checkTrainer(it, declaration, reader) }
}

private fun checkTrainer(
    trainer: TrainerDeclaration,
    declaration: Declaration,
    reader: SectionReader,
) {
    val path = "trainers.${trainer.id}"
    if (trainer.service.value.isNotEmpty() && declaration.service(trainer.service)?.kind != TargetKind.MODEL) {
        reader.reportError("$path.service", "service \"${trainer.service}\" is not a declared model service")
    }
    val scorer = trainer.scorer ?: return
    if (declaration.service(scorer)?.kind != TargetKind.PLAIN) {
        reader.reportError("$path.scorer", "service \"$scorer\" is not a declared plain service")
    }
}
