package io.guavashore.steward

import io.guavashore.api.Endpoint
import io.guavashore.api.PoolId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TargetStage
import io.guavashore.api.TeamId
import io.guavashore.api.ZoneId

/** Serving model engine at [endpoint]. */
internal fun engineAt(endpoint: Endpoint) =
    Target(
        id = TargetId("t"),
        team = TeamId("t"),
        pool = PoolId("p"),
        kind = TargetKind.MODEL,
        zone = ZoneId("a"),
        endpoint = endpoint,
        slots = 1,
        stage = TargetStage.SERVING,
    )
