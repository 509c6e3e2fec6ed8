package io.guavashore.entry

import com.github.michaelbull.result.Err
import io.guavashore.api.AttemptId
import io.guavashore.api.CounterSource
import io.guavashore.api.Declaration
import io.guavashore.api.Endpoint
import io.guavashore.api.Incarnation
import io.guavashore.api.KeyDeclaration
import io.guavashore.api.KeyId
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationDeclaration
import io.guavashore.api.OrganisationId
import io.guavashore.api.PoolDeclaration
import io.guavashore.api.PoolId
import io.guavashore.api.Revision
import io.guavashore.api.ServiceDeclaration
import io.guavashore.api.ServiceId
import io.guavashore.api.TargetKind
import io.guavashore.api.TeamId
import io.guavashore.api.TeamSnapshot
import io.guavashore.api.VmId
import io.guavashore.api.ZoneId
import io.guavashore.calls.FailurePoint
import io.guavashore.calls.SuspectGuard
import io.guavashore.calls.TargetFailure
import io.guavashore.keys.CallerKey
import io.guavashore.membership.Fact
import io.guavashore.membership.FactVersion
import io.guavashore.metrics.Metrics
import io.guavashore.samples.StepRegistry
import io.guavashore.usage.UsageLedger
import io.guavashore.wire.ControlMessage
import io.guavashore.wire.FactKeys
import io.guavashore.wire.WireError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.serialization.json.Json

/** Entry without a steward and without targets: state, admission and HTTP server, on the test's clock. */
internal class TestEntry(
    private val clock: MonotonicClock,
) {
    val key = CallerKey.generate(KeyId("app"))
    private val environment =
        PoolEnvironment(
            zone = ZoneId("a"),
            clock = clock,
            guard = SuspectGuard(clock),
            engine = { emptyFlow() },
            isUp = { true },
            newAttemptId = { AttemptId("attempt") },
            metrics = Metrics(),
            onWaiting = {},
        )
    val state = EntryState(VmId("vm-1"), environment)
    val admissionController = AdmissionController(state)

    /** Applies a steward's response that declares [organisation] with a keyed and an open service. */
    fun receiveUpdate(
        organisation: OrganisationDeclaration = OrganisationDeclaration(OrganisationId("o")),
        isolated: Boolean = false,
    ) {
        val declaration =
            Declaration(
                team = TeamId("t"),
                organisations = listOf(organisation),
                keys = listOf(KeyDeclaration(KeyId("app"), organisation.id, key.secretSha256)),
                pools = listOf(PoolDeclaration(PoolId("p"), TargetKind.PLAIN)),
                services =
                    listOf(
                        ServiceDeclaration(ServiceId("keyed"), TargetKind.PLAIN, PoolId("p")),
                        ServiceDeclaration(ServiceId("open"), TargetKind.PLAIN, PoolId("p"), open = true),
                    ),
            )
        val snapshot = TeamSnapshot(Revision(1), "change", declaration)
        val version = FactVersion(FactKeys.configuration(TeamId("t")), term = 1, sequence = 0)
        val fact = Fact(version, Json.encodeToString(snapshot))
        state.accept(
            ControlMessage.EntryUpdate(listOf(fact), entries = listOf(VmId("vm-1")), isolated = isolated),
            clock(),
        )
    }

    /** HTTP server of the entry on a free local port. */
    fun frontend(scope: CoroutineScope): HttpFrontend {
        val services =
            EntryServices(
                admissionController = admissionController,
                state = state,
                metrics = Metrics(),
                clock = clock,
                wallClock = clock,
                ledger = UsageLedger(CounterSource(VmId("vm-1"), Incarnation(1)), clock),
                callTarget = { throw TargetFailure(FailurePoint.CONNECT, "no targets here") },
                newAttemptId = { AttemptId("attempt") },
                idempotencyClaims =
                    IdempotencyClaims(
                        { Err(WireError.Unreachable("no steward here")) },
                        { AttemptId("attempt") },
                    ),
            )
        val registry = StepRegistry(clock)
        return HttpFrontend(
            Endpoint("127.0.0.1", 0),
            services,
            StepRoutes(services, registry, StepRunner(registry, services, scope)),
        )
    }
}
