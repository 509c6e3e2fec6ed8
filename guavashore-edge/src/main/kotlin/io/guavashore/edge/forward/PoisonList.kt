/*
 * Requests that may have crashed targets.
 *
 * Load pattern: a request that crashes each target that runs it comes again and again, also at other VMs, and takes a
 * service down target by target. A request counts as poison once its runs on two targets have ended with their
 * connections and none has come to its end between them.
 */
package io.guavashore.edge.forward

import io.guavashore.api.OrganisationId
import io.guavashore.api.TargetId
import io.guavashore.routing.RequestFingerprint
import io.guavashore.routing.SuspectList
import io.guavashore.routing.Suspicion

/** List of one VM. */
class PoisonList(
    private val clock: () -> Long,
    private val suspects: SuspectList = SuspectList(keepMs = KEEP_MS),
) {
    fun fingerprint(call: ForwardedCall): RequestFingerprint {
        val request = call.exchange.request
        val caller = call.organisation ?: OrganisationId("")
        return RequestFingerprint.of(caller, request.uri.toByteArray() + request.body)
    }

    fun isPoison(fingerprint: RequestFingerprint): Boolean =
        suspects.suspicion(fingerprint, clock()) == Suspicion.POISON

    /** [target] broke off while it ran the request. */
    fun suspect(
        fingerprint: RequestFingerprint,
        target: TargetId,
    ) = suspects.recordCrash(target, listOf(fingerprint), clock())

    /** The request ran to its end on a target, so the run that broke off before did not end for its sake. */
    fun served(fingerprint: RequestFingerprint) = suspects.recordCompletion(fingerprint)

    private companion object {
        /** A caller that repeats such a request does so within seconds. */
        const val KEEP_MS = 60_000L
    }
}
