/*
 * Services shared by the routes of an entry: admission, usage counting, metrics and calls of plain services.
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

/** Shared services of one entry. [reportSoon] requests an early report to the steward. */
internal class EntryServices(
    val admissionController: AdmissionController,
    val state: EntryState,
    val metrics: Metrics,
    val clock: MonotonicClock,
    val wallClock: WallClock,
    private val ledger: UsageLedger,
    private val callTarget: CallPlain,
    private val newAttemptId: NewAttemptId,
    val idempotencyClaims: IdempotencyClaims,
    val reportSoon: () -> Unit = {},
) {
    /** Counts the usage delivered to the caller. Calls of open routes belong to no organisation and aren't counted. */
    fun countDelivered(
        admitted: AdmittedCall,
        amount: UsageAmount,
    ) {
        if (admitted.caller.key == null) return
        countUsage(admitted.team.declaration, admitted.caller.organisation, amount)
    }

    /** Counts usage of [organisation] in the current usage window. */
    fun countUsage(
        declaration: Declaration,
        organisation: OrganisationId,
        amount: UsageAmount,
    ) = ledger.add(declaration.team, organisation, declaration.usageWindowMs, amount)

    /** Calls a plain service within the organisation's limits and while the caller's key is valid. */
    suspend fun callPlain(
        admitted: AdmittedCall,
        request: PlainRequest,
        plan: CallPlan,
    ): Result<PlainResponse, Refusal> =
        timed(admitted, plan.slot.workClass) {
            admissionController.whileKeyValid(admitted.team.declaration.team, admitted.caller.key) {
                admissionController.withinLimits(admitted, maxTokens = 0, usedTokens = { 0 }) {
                    callPlainUnlimited(admitted, request, plan)
                }
            }
        }

    /** Calls a plain service without the organisation's limits; for guavashore's own calls, such as scoring. */
    suspend fun callPlainUnlimited(
        admitted: AdmittedCall,
        request: PlainRequest,
        plan: CallPlan,
    ): Result<PlainResponse, Refusal> =
        admitted.pool.callRunner.run(plan) { target ->
            val timeoutMs = maxOf(1, plan.slot.deadlineMs - clock())
            callTarget(PlainCall(target, newAttemptId(), request, admitted.service.maxResponseBytes, timeoutMs))
        }

    /** Runs [block], and records its duration and outcome in the metrics. */
    suspend fun <T> timed(
        admitted: AdmittedCall,
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
