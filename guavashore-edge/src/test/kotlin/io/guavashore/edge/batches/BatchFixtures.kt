/*
 * Test fixtures: item specs, batches and engine views with default values.
 */
package io.guavashore.edge.batches

import io.guavashore.api.GroupId
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetId
import io.guavashore.edge.declared.EdgeDeclaration
import io.guavashore.edge.declared.EngineSpec
import io.guavashore.edge.declared.ModelId
import io.guavashore.edge.declared.Route
import io.guavashore.edge.declared.RouteId
import io.guavashore.edge.declared.RouteKind
import io.guavashore.edge.declared.ServiceSpec
import io.guavashore.edge.declared.SoftwareVersion
import io.guavashore.edge.declared.WeightedService
import io.guavashore.edge.forward.TargetLoads
import io.guavashore.edge.targets.ControlProtocol
import io.guavashore.edge.targets.TargetConnectionPool
import io.guavashore.edge.targets.TargetDirectory
import io.guavashore.edge.targets.TargetProtocol
import io.guavashore.net.CallerLimits
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation

internal val MODEL = ModelId("m0")
internal val ENGINES = ServiceId("engines")

internal fun itemSpec(
    id: String,
    group: String = "g-$id",
    expectedTokens: Int = 1_000,
) = ItemSpec(
    id = ItemId(id),
    path = "/rollouts/$id",
    headers = emptyMap(),
    bodyBase64 = "",
    group = GroupId(group),
    promptTokens = 100,
    maxOutputTokens = 12_000,
    expectedOutputTokens = expectedTokens,
)

internal fun batch(
    id: String,
    items: List<ItemSpec>,
    minVersion: Long = 1,
    dueAtMs: Long = 7_500,
    singleVersion: Boolean = false,
    organisation: String = "weavers",
    host: String = "host",
    model: ModelId = MODEL,
) = BatchState(
    BatchId(id),
    BatchRecord(
        organisation = OrganisationId(organisation),
        host = host,
        digest = "d",
        model = model,
        step = 1,
        minVersion = minVersion,
        desiredGroups = 0,
        singleVersion = singleVersion,
        maxAttempts = 3,
        dueAtMs = dueAtMs,
        giveUpAtMs = 40_000,
        keepUntilMs = 120_000,
        itemIds = items.map { it.id },
        items = items,
    ),
    revision = 1,
)

internal fun engine(
    id: String,
    running: Int = 0,
    slots: Int = 12,
    msPerEvent: Double? = 40.0,
    version: Long = 1,
    expectedTokens: Int = 0,
    memoryTokens: Int = 84_000,
    isUsable: Boolean = true,
    software: String = "v1",
) = EngineView(
    id = TargetId(id),
    service = ENGINES,
    slots = slots,
    memoryTokens = memoryTokens,
    software = SoftwareVersion(software),
    versions = mapOf(MODEL to version),
    runs = List(running) { MemoryEstimate(currentTokens = 0, remainingTokens = expectedTokens) },
    msPerEvent = msPerEvent,
    isUsable = isUsable,
)

/** Declaration with one route, on which items go to [backends]. */
internal fun declaration(
    backends: List<WeightedService>,
    services: Map<ServiceId, ServiceSpec> = emptyMap(),
) = EdgeDeclaration(
    version = 1,
    routes =
        listOf(
            Route(
                id = RouteId("r"),
                host = "host",
                pathPrefix = "/rollouts/",
                kind = RouteKind.BATCH,
                timeoutMs = 10_000,
                objectiveMs = 500,
                priority = 0,
                backends = backends,
                maxAttempts = 3,
            ),
        ),
    services = services,
    organisationByKey = emptyMap(),
    requiresKeys = false,
    limits = CallerLimits(),
)

internal fun demand(item: ItemState) = ItemDemand(item, ENGINES, MODEL)

/** For tests in which nothing is sent, so that no message is encoded or decoded. */
internal val UNUSED_PROTOCOL =
    TargetProtocol(
        { _, _ -> error("unused") },
        { _, _, _ -> error("unused") },
        { _, _ -> error("unused") },
        { error("unused") },
        { error("unused") },
        { error("unused") },
        { error("unused") },
        ControlProtocol({ _, _ -> error("unused") }, { error("unused") }, { error("unused") }),
    )

/** Runner of a coordinator that knows the engines of [directory], to which no connection can be opened. */
internal fun idleRunner(
    scope: CoroutineScope,
    store: BatchStore,
    knowledge: BatchKnowledge,
    clock: MonotonicClock,
    fence: TermFence = TermFence(1, isHeld = { true }),
    directory: TargetDirectory = TargetDirectory({ null }, clock, { false }),
): BatchRunner {
    val connections = TargetConnectionPool({ _, _ -> awaitCancellation() }, UNUSED_PROTOCOL.metadata)
    val pace = EnginePace()
    val items =
        ItemDispatcher(
            scope,
            ItemCall(UNUSED_PROTOCOL, connections, directory, pace, { _, _ -> }, clock),
            directory,
            pace,
            EngineStatus({ false }, { _, _ -> true }),
            clock,
            { 0 },
        )
    val scores =
        ScoreDispatcher(
            scope,
            ScoreCall(UNUSED_PROTOCOL, connections) { _, _ -> },
            ScoringTargets(directory, TargetLoads()),
            clock,
            { 0 },
            items::wake,
            mayRun = { true },
        )
    return BatchRunner(
        scope,
        fence,
        store,
        Dispatchers(items, scores),
        ResumableTexts(),
        knowledge,
        {
            declaration(
                listOf(WeightedService(ENGINES, 1)),
                mapOf(ENGINES to ServiceSpec(ENGINES, 100, EngineSpec(slots = 2, memoryTokens = 0, listOf(MODEL)))),
            )
        },
        clock,
        { 0 },
    )
}
