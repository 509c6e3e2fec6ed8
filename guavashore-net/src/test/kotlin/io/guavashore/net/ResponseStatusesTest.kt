package io.guavashore.net

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Responses with each status from 000 to 999 and with other words in place of a status. */
class ResponseStatusesTest {
    private val sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

    private fun withStatus(status: String) = "HTTP/1.1 $status Status\r\nContent-Length: 3\r\n\r\nodd"

    private fun receive(
        bytes: String,
        check: EmbeddedConnection.() -> Unit,
    ) = EmbeddedConnection().use {
        it.send()
        it.receive(bytes)
        it.check()
    }

    /** Guards against callers that get a status which is none, or wait for an answer that can't come any more. */
    @Test
    fun `a response is one only with a status from 200 to 599, and others end the exchange at once`() =
        (0..999).forEach { status ->
            if (status in INTERIM) return@forEach
            receive(withStatus("%03d".format(status))) {
                if (status in FINAL) {
                    assertTrue(response().orEmpty().startsWith("$status "))
                } else {
                    assertFalse(isOpen, "status $status")
                    assertNull(response(), "status $status")
                }
            }
        }

    @Test
    fun `a sound response that follows one without a valid status is not taken for the response`() =
        (0..999).forEach { status ->
            receive(withStatus("%03d".format(status)) + sound) {
                if (status !in INTERIM) assertFalse(isOpen, "status $status")
                val response = response()
                if (status !in FINAL) assertFalse(response.orEmpty().startsWith("200 "), "status $status")
            }
        }

    @Test
    fun `words in place of a status are no response`() =
        listOf("20", "2", "1000", "2000", "-200", "2OO", "0x200", "", "99999999999").forEach { status ->
            receive(withStatus(status)) { assertNull(response(), "status '$status'") }
        }

    /** Guards against callers that get a success from a server that sent none: a parsed number may have other forms. */
    @Test
    fun `a status is written with three digits, and other forms of its number end the exchange at once`() =
        listOf("+200", "0200", "00200", "+0200", "+20", "0099", "+599", "2\u0660\u0660").forEach { status ->
            listOf(withStatus(status), withStatus(status) + sound).forEach { bytes ->
                receive(bytes) {
                    assertFalse(isOpen, "status '$status'")
                    assertNull(response(), "status '$status'")
                }
            }
        }

    @Test
    fun `a response to HEAD ends with its head`() =
        EmbeddedConnection().use {
            it.send("HEAD")
            it.receive("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            assertEquals("200 [(Content-Length, 5)] ", it.response())
            assertTrue(it.isOpen)
        }

    @Test
    fun `interim responses without a body precede the response`() =
        listOf(100, 102, 103, 199).forEach { status ->
            receive("HTTP/1.1 $status Interim\r\n\r\n" + sound) {
                assertEquals("200 [(Content-Length, 5)] sound", response(), "status $status")
            }
        }

    private companion object {
        val INTERIM = 100..199
        val FINAL = 200..599
    }
}
