/*
 * What the routes of an entry share.
 */
package io.guavashore.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.guavashore.admission.WorkClass
import io.guavashore.api.Declaration
import io.guavashore.api.MonotonicClock
import io.guavashore.api.OrganisationId
import io.guavashore.api.Refusal
import io.guavashore.api.UsageAmount
import io.guavashore.api.WallClock
import io.guavashore.calls.CallPlain
import io.guavashore.calls.CallPlan
import io.guavashore.calls.NewAttemptId
import io.guavashore.calls.PlainCall
import io.guavashore.calls.PlainRequest
import io.guavashore.calls.PlainResponse
import io.guavashore.metrics.Metrics
import io.guavashore.usage.UsageLedger

/** Shared parts of one entry. */
internal class EntryServices(
    val gate: Gate,
    val state: EntryState,
    val metrics: Metrics,
    val clock: MonotonicClock,
    val wallClock: WallClock,
    private val ledger: UsageLedger,
    private val plain: CallPlain,
    private val newAttemptId: NewAttemptId,
    val claims: RequestClaims,
    val reportSoon: () -> Unit = {},
) {
    /** Counts what was delivered to the caller; open routes are nobody's usage. */
    fun delivered(
        admitted: Admitted,
        amount: UsageAmount,
    ) {
        if (admitted.caller.key == null) return
        countUsage(admitted.team.declaration, admitted.caller.organisation, amount)
    }

    /** Counts usage of [organisation] in the window that is open now. */
    fun countUsage(
        declaration: Declaration,
        organisation: OrganisationId,
        amount: UsageAmount,
    ) = ledger.add(declaration.team, organisation, declaration.usageWindowMs, amount)

    /** Runs a call of a plain service under key and limits. */
    suspend fun callPlain(
        admitted: Admitted,
        request: PlainRequest,
        plan: CallPlan,
    ): Result<PlainResponse, Refusal> =
        timed(admitted, plan.slot.workClass) {
            gate.whileInForce(admitted.team.declaration.team, admitted.caller.key) {
                gate.withinLimits(admitted, maxTokens = 0, usedTokens = { 0 }) { attemptPlain(admitted, request, plan) }
            }
        }

    /** Runs a call of a plain service without limits of the organisation; for guavashore's own calls. */
    suspend fun attemptPlain(
        admitted: Admitted,
        request: PlainRequest,
        plan: CallPlan,
    ): Result<PlainResponse, Refusal> =
        admitted.pool.calls.run(plan) { target ->
            val timeoutMs = maxOf(1, plan.slot.deadlineMs - clock())
            plain(PlainCall(target, newAttemptId(), request, admitted.service.maxAnswerBytes, timeoutMs))
        }

    /** Measures a call and counts its outcome. */
    suspend fun <T> timed(
        admitted: Admitted,
        workClass: WorkClass,
        block: suspend () -> Result<T, Refusal>,
    ): Result<T, Refusal> {
        val startedAtMs = clock()
        val outcome = block()
        val organisation = admitted.caller.organisation
        metrics.time("call", clock() - startedAtMs, organisation, workClass.name.lowercase())
        val kind =
            outcome
                .getError()
                ?.kind
                ?.name
                ?.lowercase() ?: "ok"
        metrics.count("calls", "organisation" to organisation.value, "outcome" to kind)
        return outcome
    }
}
