/*
 * Detects poison requests, which crash the targets that run them.
 *
 * Load pattern: a request that crashes every target that runs it is repeated, also at other VMs, and takes a service
 * down target by target. A request counts as poison once the connections to two targets have failed while they ran it
 * and no run has completed in between.
 */
package io.guavashore.edge.forward

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.routing.RequestFingerprint
import io.guavashore.routing.SuspectList
import io.guavashore.routing.Suspicion

/** Poison requests seen by one VM. */
class PoisonList(
    private val clock: () -> Long,
    private val suspects: SuspectList = SuspectList(keepMs = RETENTION_MS),
) {
    fun fingerprint(call: ForwardedCall): RequestFingerprint {
        val request = call.exchange.request
        val caller = call.organisation ?: OrganisationId("")
        return RequestFingerprint.of(caller, request.uri.toByteArray() + request.body)
    }

    fun isPoison(fingerprint: RequestFingerprint): Boolean =
        suspects.suspicion(fingerprint, clock()) == Suspicion.POISON

    /** Records that the connection to [target] failed while it ran the request. */
    fun onConnectionFailed(
        fingerprint: RequestFingerprint,
        target: TargetId,
    ) = suspects.recordCrash(target, listOf(fingerprint), clock())

    /** Records that the request ran to completion on a target, so it did not cause the earlier connection failure. */
    fun onCompleted(fingerprint: RequestFingerprint) = suspects.recordCompletion(fingerprint)

    private companion object {
        /** Callers that repeat such a request do so within seconds. */
        const val RETENTION_MS = 60_000L
    }
}
