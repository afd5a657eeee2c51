package io.primroseflow.daemon

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldContain
import io.primroseflow.daemon.socket.EventLoop
import io.primroseflow.daemon.target.ScriptedServer
import io.primroseflow.daemon.target.TargetConnectionPool
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext

class HttpFetcherTest :
    DescribeSpec({
        describe("a response of the platform") {
            // Operators: bytes without end in a body are all kept, until the process ends.
            it("that exceeds the limit is an error") {
                val head = "HTTP/1.1 200 OK\r\n\r\n".toByteArray()
                val body = ByteArray(6 * 1024 * 1024) { ' '.code.toByte() }
                ScriptedServer { head + body }.use { server ->
                    val loop = EventLoop("test")
                    val fetcher = HttpFetcher(TargetConnectionPool(loop, MonotonicClock()))
                    val address = server.url.removePrefix("http://")
                    val result = runBlocking {
                        withContext(loop.dispatcher) { fetcher.get(address, "/instances") }
                    }
                    loop.close()
                    result.getError().shouldNotBeNull() shouldContain "more than"
                }
            }
        }
    })
