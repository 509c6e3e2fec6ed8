package io.guavashore.api

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class EndpointTest {
    @Test
    fun `an address is parsed`() {
        assertEquals(Endpoint("10.1.0.7", 8405), Endpoint.parseOrNull("10.1.0.7:8405"))
        assertEquals(Endpoint("[::1]", 8405), Endpoint.parseOrNull("[::1]:8405"))
    }

    /** Guards against a name lookup, which would block the event loop. */
    @Test
    fun `an address whose numbers are out of range is rejected`() {
        listOf("300.0.0.1:80", "10.1.0.999:80", "10.1.0.7:65536", "10.1.0.7:99999", "10.1.0.7:-1", "10.1.0.7")
            .forEach { assertNull(Endpoint.parseOrNull(it), it) }
    }
}
