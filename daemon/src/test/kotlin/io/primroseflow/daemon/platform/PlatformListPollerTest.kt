package io.primroseflow.daemon.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

class PlatformListPollerTest :
    DescribeSpec({
        describe("the platform's list of hosts") {
            // Operators: one odd entry made the whole list unreadable, so that targets which the
            // list called leaving stayed in use.
            it("loses nothing but its odd entries") {
                val deep = "[".repeat(100_000) + "]".repeat(100_000)
                val odd = listOf(
                    """{"name":"x","state":"asleep"}""",
                    """{"name":7e999999,"state":{}}""",
                    """{"name":"y","state":$deep}""",
                    """{"name":"z"}""",
                    "7"
                )
                val sound = """{"name":"a","state":"live"},{"name":"b","state":"leaving","new":1}"""
                val list = """{"hosts":[${odd.joinToString()},$sound]}"""
                listedTargetsOrNull(list) shouldBe listOf(
                    ListedTarget("a", ListedState.Live),
                    ListedTarget("b", ListedState.Leaving)
                )
                listedTargetsOrNull("""{"hosts":7}""").shouldBeNull()
                listedTargetsOrNull("oops").shouldBeNull()
            }
        }
    })
