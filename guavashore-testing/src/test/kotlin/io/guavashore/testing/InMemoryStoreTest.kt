package io.guavashore.testing

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrThrow
import io.guavashore.platform.ObjectPath
import io.guavashore.platform.ObjectVersion
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlin.test.Test
import kotlin.test.assertEquals

class InMemoryStoreTest {
    @Test
    fun `a watch that ends while objects are written skips none of them`() {
        val store = InMemoryStore().asStore
        val watched = HashSet<ObjectPath>()
        runBlocking(Dispatchers.Default) {
            launch {
                repeat(WRITES) {
                    store.write(ObjectPath("heads/$it"), "v", ObjectVersion.ABSENT).getOrThrow { error("$it") }
                }
            }
            var cursor = 0L
            while (cursor < WRITES) {
                val batch = checkNotNull(store.watch("heads/", cursor, 0).get())
                watched += batch.objects.map { it.path }
                cursor = batch.cursor
            }
        }
        assertEquals(WRITES, watched.size)
    }

    private companion object {
        const val WRITES = 20_000
    }
}
