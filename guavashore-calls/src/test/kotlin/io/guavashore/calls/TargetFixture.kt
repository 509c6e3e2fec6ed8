package io.guavashore.calls

import io.guavashore.api.Endpoint
import io.guavashore.api.PoolId
import io.guavashore.api.Target
import io.guavashore.api.TargetId
import io.guavashore.api.TargetKind
import io.guavashore.api.TargetStage
import io.guavashore.api.TeamId
import io.guavashore.api.ZoneId

/** Target that serves at [endpoint]. */
internal fun targetAt(
    endpoint: Endpoint,
    id: String = "t",
    zone: ZoneId = ZoneId("a"),
    slots: Int = 1,
) = Target(
    id = TargetId(id),
    team = TeamId("t"),
    pool = PoolId("p"),
    kind = TargetKind.PLAIN,
    zone = zone,
    endpoint = endpoint,
    slots = slots,
    stage = TargetStage.SERVING,
)
