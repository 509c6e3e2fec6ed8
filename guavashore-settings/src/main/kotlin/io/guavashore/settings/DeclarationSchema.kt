/*
 * Schema of a team's declaration: all keys with their bounds, defaults and descriptions.
 */
package io.guavashore.settings

import io.guavashore.api.IsolationPolicy
import io.guavashore.api.ScalePolicy
import io.guavashore.api.TargetKind

internal object TeamFields {
    val team =
        textField(
            "team",
            "Name of the team, and of its subtree in the store.",
            pattern = namePattern,
            expected = "1 to 63 characters of a-z, 0-9, '-'",
        )
    val policy =
        choiceField(
            "policy",
            "Objective of scaling.",
            mapOf("cost_first" to ScalePolicy.COST_FIRST, "idle_time_first" to ScalePolicy.IDLE_TIME_FIRST),
            default = ScalePolicy.COST_FIRST,
        )
    val usageWindowMs =
        longField("usage_window_ms", "Length of a usage window, in ms.", 1_000L..86_400_000L, default = 60_000)
    val drainedTargets =
        textListField("drained_targets", "Ids of targets to drain: they get no new work and are then stopped.")
}

internal object OrganisationFields {
    val requestsPerS =
        decimalField("requests_per_s", "Max requests per second, over all entries.", 0.1..1e6, default = 100.0)
    val concurrentRequests =
        longField(
            "concurrent_requests",
            "Max requests that run or wait at the same time, over all entries.",
            1L..100_000L,
            default = 64,
        )
    val tokensPerS =
        decimalField("tokens_per_s", "Max generated tokens per second, over all entries.", 1.0..1e8, default = 20_000.0)
    val weight =
        longField("weight", "Relative share of the slots when organisations compete.", 1L..100L, default = 1)
    val isolation =
        choiceField(
            "isolation",
            "Behaviour of entries that reach neither the platform nor other zones, and can't learn of withdrawn keys.",
            mapOf("serve_until_deadline" to IsolationPolicy.SERVE_UNTIL_DEADLINE, "refuse" to IsolationPolicy.REFUSE),
            default = IsolationPolicy.SERVE_UNTIL_DEADLINE,
        )
    val isolationGraceMs =
        longField(
            "isolation_grace_ms",
            "How long serve_until_deadline keeps serving, in ms.",
            0L..86_400_000L,
            default = 600_000,
        )
    val rateLimit =
        longField(
            "rate_limit",
            "Former name of requests_per_s.",
            0L..1_000_000L,
            default = 0,
            replacedBy = "requests_per_s",
        )
}

internal object KeyFields {
    val organisation = textField("organisation", "Organisation that the key belongs to.")
    val secretSha256 =
        textField(
            "secret_sha256",
            "SHA-256 of the key's secret, as 'guavashorectl key-new' prints it.",
            pattern = Regex("[0-9a-f]{64}"),
            expected = "64 lower-case hexadecimal digits",
        )
    val withdrawn = booleanField("withdrawn", "True once the key is withdrawn; can't be undone.", default = false)
}

private val targetKinds = mapOf("model" to TargetKind.MODEL, "plain" to TargetKind.PLAIN)

internal object PoolFields {
    val kind = choiceField("kind", "Kind of the pool's targets.", targetKinds)
    val slotsPerTarget =
        longField("slots_per_target", "Max concurrent requests per target.", 1L..4_096L, default = 8)
    val reservedPublicSlots =
        longField("reserved_public_slots", "Slots per entry and target that samples can't use.", 0L..64L, default = 0)
}

internal object PoolZoneFields {
    val minTargets = longField("min_targets", "Min targets in the zone.", 0L..1_000L, default = 1)
    val maxTargets = longField("max_targets", "Max targets in the zone.", 0L..1_000L, default = 4)
    val preferCheap =
        booleanField("prefer_cheap", "Whether cheap, reclaimable targets are started first.", default = true)
}

internal object ServiceFields {
    val kind = choiceField("kind", "Kind of the service's targets; must equal the pool's.", targetKinds)
    val pool = textField("pool", "Pool that serves the service.")
    val open = booleanField("open", "Whether calls are accepted without a key.", default = false)
    val idempotentPosts = booleanField("idempotent_posts", "Whether POST calls may be repeated.", default = false)
    val timeoutMs =
        longField(
            "timeout_ms",
            "Timeout of a call, including the wait for a slot, in ms.",
            10L..3_600_000L,
            default = 30_000,
        )
    val maxRequestBytes =
        longField("max_request_bytes", "Max size of a request body, in bytes.", 1L..16_777_216L, default = 1_048_576)
    val maxResponseBytes =
        longField("max_answer_bytes", "Max size of a response body, in bytes.", 1L..67_108_864L, default = 8_388_608)
}

internal object TrainerFields {
    val organisation = textField("organisation", "Organisation whose usage includes the trainer's samples.")
    val service = textField("service", "Model service that generates the trainer's samples.")
    val scorer = textField("scorer", "Plain service that scores the samples; empty for none.", default = "")
    val maxStalenessVersions =
        longField(
            "max_staleness_versions",
            "Max weight versions by which a sample may lag behind the trainer.",
            0L..1_000L,
            default = 2,
        )
    val maxSamplesPerStep = longField("max_samples_per_step", "Max samples per step.", 1L..65_536L, default = 4_096)
}

/** Schema of a team's declaration. */
val declarationSection =
    Section(
        doc = "Declaration of one team.",
        fields = TeamFields.run { listOf(team, policy, usageWindowMs, drainedTargets) },
        namedTables =
            mapOf(
                "organisations" to
                    Section(
                        doc = "Organisations and their limits.",
                        fields =
                            OrganisationFields.run {
                                listOf(
                                    requestsPerS,
                                    concurrentRequests,
                                    tokensPerS,
                                    weight,
                                    isolation,
                                    isolationGraceMs,
                                    rateLimit,
                                )
                            },
                    ),
                "keys" to
                    Section(
                        doc = "Callers' keys.",
                        fields = KeyFields.run { listOf(organisation, secretSha256, withdrawn) },
                    ),
                "pools" to
                    Section(
                        doc = "Pools of interchangeable targets.",
                        fields = PoolFields.run { listOf(kind, slotsPerTarget, reservedPublicSlots) },
                        namedTables =
                            mapOf(
                                "zones" to
                                    Section(
                                        doc = "Size of the pool by availability zone.",
                                        fields = PoolZoneFields.run { listOf(minTargets, maxTargets, preferCheap) },
                                    ),
                            ),
                    ),
                "services" to
                    Section(
                        doc = "Services that callers address by name.",
                        fields =
                            ServiceFields.run {
                                listOf(kind, pool, open, idempotentPosts, timeoutMs, maxRequestBytes, maxResponseBytes)
                            },
                    ),
                "trainers" to
                    Section(
                        doc = "Trainers that submit steps.",
                        fields =
                            TrainerFields.run {
                                listOf(organisation, service, scorer, maxStalenessVersions, maxSamplesPerStep)
                            },
                    ),
            ),
    )
