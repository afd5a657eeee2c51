package io.primroseflow.daemon.json

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.jsonPrimitive

private fun read(list: String) =
    ForeignJson.ofOrNull("""{"list":$list,"next":"n"}""")?.elementsOrNull("list")

private fun elements(list: String) = read(list)?.readable?.map { it.toString() }

class ForeignJsonTest :
    DescribeSpec({
        describe("a list of another system") {
            it("is read as it stands if all of its elements are valid") {
                elements("""[ {"a": "x],}\"{"} , [1, 2], "y", 3 , {} ]""") shouldBe
                    listOf("""{"a":"x],}\"{"}""", "[1,2]", "\"y\"", "3", "{}")
                elements("[]") shouldBe emptyList()
                ForeignJson.ofOrNull(""" {"next":"n"} """)
                    ?.elementOrNull("next")?.jsonPrimitive?.content shouldBe "n"
            }

            // Operators: one odd entry among those of the targets ended the hosts that read the
            // list, or they stopped following it.
            it("loses nothing but its odd elements") {
                val deep = 300_000
                val odd = listOf(
                    "[".repeat(deep) + "]".repeat(deep),
                    """{"a":""".repeat(deep) + "1" + "}".repeat(deep),
                    "\"${"x".repeat(100_000)}\"",
                    "NaN",
                    "0x7",
                    "{\"a\":\"\u0001\"}",
                    """{"a":1 "b":2}""",
                    """{"a" 1}"""
                )
                for (element in odd) {
                    val list = "[1,$element,2]"
                    val read = elements(list).orEmpty()
                    listOf(read.first(), read.last()) shouldBe listOf("1", "2")
                    read.size + (read(list)?.unreadable ?: 0) shouldBe 3
                }
            }

            // Issue 44: a list of a million tiny elements exhausted the memory of each leader in turn.
            it("is parsed up to its 16,384th element") {
                val parsed = read("[${"1,".repeat(1_000_000)}2]").shouldNotBeNull()
                parsed.readable.size shouldBe MAX_FOREIGN_ELEMENTS
                parsed.unreadable shouldBe 1_000_001 - MAX_FOREIGN_ELEMENTS
            }

            it("is missing if it has no end or no separators") {
                elements("[1,[2]").shouldBeNull()
                elements("[1,\"2]").shouldBeNull()
                elements("[1,,2]").shouldBeNull()
                elements("7").shouldBeNull()
                ForeignJson.ofOrNull("[1]").shouldBeNull()
                ForeignJson.ofOrNull("").shouldBeNull()
            }
        }
    })
