/*
 * Schema of a team's declaration: every key with its bounds, default and doc.
 */
package io.guavashore.settings

import io.guavashore.api.IsolationPolicy
import io.guavashore.api.ScalePolicy
import io.guavashore.api.TargetKind

internal object TeamFields {
    val team =
        textField(
            "team",
            "Name of the team; its subtree in the store.",
            pattern = nameForm,
            form = "1 to 63 of a-z, 0-9, '-'",
        )
    val policy =
        choiceField(
            "policy",
            "What scaling favours.",
            mapOf("cost_first" to ScalePolicy.COST_FIRST, "idle_time_first" to ScalePolicy.IDLE_TIME_FIRST),
            default = ScalePolicy.COST_FIRST,
        )
    val usageWindowMs =
        longField("usage_window_ms", "Length of a usage window, in ms.", 1_000L..86_400_000L, default = 60_000)
    val drainedTargets =
        textListField("drained_targets", "Ids of targets that are to get no new work and then to stop.")
}

internal object OrganisationFields {
    val requestsPerS =
        decimalField("requests_per_s", "Requests per second over all entries.", 0.1..1e6, default = 100.0)
    val concurrentRequests =
        longField(
            "concurrent_requests",
            "Requests that run or wait at once over all entries.",
            1L..100_000L,
            default = 64,
        )
    val tokensPerS =
        decimalField("tokens_per_s", "Generated tokens per second over all entries.", 1.0..1e8, default = 20_000.0)
    val weight =
        longField("weight", "Share of slots against other organisations when all are busy.", 1L..100L, default = 1)
    val isolation =
        choiceField(
            "isolation",
            "What entries do that hear neither the platform nor other zones, where a withdrawn key can't be known.",
            mapOf("serve_until_deadline" to IsolationPolicy.SERVE_UNTIL_DEADLINE, "refuse" to IsolationPolicy.REFUSE),
            default = IsolationPolicy.SERVE_UNTIL_DEADLINE,
        )
    val isolationGraceMs =
        longField(
            "isolation_grace_ms",
            "How long serve_until_deadline serves on, in ms.",
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
            "SHA-256 of the key's secret, as 'guavashorectl key new' prints it.",
            pattern = Regex("[0-9a-f]{64}"),
            form = "64 lower-case hexadecimal digits",
        )
    val withdrawn = booleanField("withdrawn", "True once the key is withdrawn; can't be taken back.", default = false)
}

private val kinds = mapOf("model" to TargetKind.MODEL, "plain" to TargetKind.PLAIN)

internal object PoolFields {
    val kind = choiceField("kind", "Kind of its targets.", kinds)
    val slotsPerTarget =
        longField("slots_per_target", "Requests that run on one target at once.", 1L..4_096L, default = 8)
    val reservedPublicSlots =
        longField("reserved_public_slots", "Slots per entry and target that samples leave free.", 0L..64L, default = 0)
}

internal object PoolZoneFields {
    val minTargets = longField("min_targets", "Targets that always run here.", 0L..1_000L, default = 1)
    val maxTargets = longField("max_targets", "Targets that may run here.", 0L..1_000L, default = 4)
    val preferCheap =
        booleanField("prefer_cheap", "Whether cheap, reclaimable targets are taken first.", default = true)
}

internal object ServiceFields {
    val kind = choiceField("kind", "Kind of its targets; must be the pool's.", kinds)
    val pool = textField("pool", "Pool that serves it.")
    val open = booleanField("open", "Whether calls need no key.", default = false)
    val idempotentPosts = booleanField("idempotent_posts", "Whether POST calls may be repeated.", default = false)
    val timeoutMs =
        longField("timeout_ms", "Time for a call, waiting included, in ms.", 10L..3_600_000L, default = 30_000)
    val maxRequestBytes = longField("max_request_bytes", "Longest request body.", 1L..16_777_216L, default = 1_048_576)
    val maxAnswerBytes = longField("max_answer_bytes", "Longest answer body.", 1L..67_108_864L, default = 8_388_608)
}

internal object TrainerFields {
    val organisation = textField("organisation", "Organisation that its samples are counted for.")
    val service = textField("service", "Model service that generates its samples.")
    val scorer = textField("scorer", "Plain service that scores its samples; empty if none does.", default = "")
    val maxStalenessVersions =
        longField(
            "max_staleness_versions",
            "Weight versions that a sample may lie behind the trainer.",
            0L..1_000L,
            default = 2,
        )
    val maxSamplesPerStep = longField("max_samples_per_step", "Largest step.", 1L..65_536L, default = 4_096)
}

/** Schema of a team's declaration. */
val declarationSection =
    Section(
        doc = "Declaration of one team.",
        fields = TeamFields.run { listOf(team, policy, usageWindowMs, drainedTargets) },
        named =
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
                        doc = "Pools of like targets.",
                        fields = PoolFields.run { listOf(kind, slotsPerTarget, reservedPublicSlots) },
                        named =
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
                        doc = "Services that callers name.",
                        fields =
                            ServiceFields.run {
                                listOf(kind, pool, open, idempotentPosts, timeoutMs, maxRequestBytes, maxAnswerBytes)
                            },
                    ),
                "trainers" to
                    Section(
                        doc = "Trainers that put steps.",
                        fields =
                            TrainerFields.run {
                                listOf(organisation, service, scorer, maxStalenessVersions, maxSamplesPerStep)
                            },
                    ),
            ),
    )
