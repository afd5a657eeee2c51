package io.primroseflow.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.primroseflow.fleet.fleetPolicy
import io.primroseflow.model.TeamId
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

private fun route(host: String, prefix: String) = ServiceRoute(
    id = RouteId("$host$prefix"),
    host = host,
    pathPrefix = prefix,
    split = persistentListOf(WeightedService(ServiceId("s"), 1)),
    repeatability = Repeatability.Idempotent,
    timeout = 1.seconds,
    latencyGoal = 1.seconds,
    priority = 0,
    maxAttempts = 1,
    isPublic = false,
    isStream = false
)

class RouteTableTest :
    DescribeSpec({
        val policy = fleetPolicy().copy(
            routes = persistentListOf(
                route("a.example", "/"),
                route("a.example", "/x/"),
                route("a.example", "/x/y/"),
                route("b.example", "/x/")
            ),
            credentials = persistentMapOf("key" to TeamId("t"))
        )
        val table = RouteTable(policy)

        describe("a route") {
            it("is the one of its host with the longest matching prefix") {
                table.findOrNull("a.example", "/x/y/z")?.pathPrefix shouldBe "/x/y/"
                table.findOrNull("a.example", "/x/yz")?.pathPrefix shouldBe "/x/"
                table.findOrNull("a.example", "/x")?.pathPrefix shouldBe "/"
                table.findOrNull("A.Example:8080", "/x/1")?.pathPrefix shouldBe "/x/"
            }

            it("of another host does not match") {
                table.findOrNull("b.example", "/y/") shouldBe null
                table.findOrNull("c.example", "/x/") shouldBe null
            }
        }

        describe("a credential") {
            it("identifies its team, and unknown or absent ones identify none") {
                table.teamOrNull("key")?.id shouldBe TeamId("t")
                table.teamOrNull("other") shouldBe null
                table.teamOrNull(null) shouldBe null
            }
        }

        describe("a traffic split") {
            val split = persistentListOf(
                WeightedService(ServiceId("a"), 90),
                WeightedService(ServiceId("b"), 10)
            )

            // Issue 44, the class: a configuration with such weights was acknowledged, and each
            // request of the route then closed its connection without an answer.
            it("is made by weights whose sum exceeds an Int") {
                val wide = persistentListOf(
                    WeightedService(ServiceId("a"), Int.MAX_VALUE),
                    WeightedService(ServiceId("b"), Int.MAX_VALUE),
                    WeightedService(ServiceId("c"), 2)
                )
                val chosen = (1..100).map { wide.chooseFor("request-$it").value }
                chosen.toSet() shouldBe setOf("a", "b")
            }

            it("chooses the same service for the same key") {
                repeat(20) { split.chooseFor("id-7") shouldBe split.chooseFor("id-7") }
            }

            it("follows the weights") {
                val count = (1..10_000).count { split.chooseFor("request-$it").value == "b" }
                count shouldBeInRange 800..1_200
            }

            // LOST: the sum of the weights overflowed to 0, and each request ended without an answer.
            it("works with weights whose sum exceeds the range of Int") {
                val even = persistentListOf("a", "b", "c", "d")
                    .map { WeightedService(ServiceId(it), 1 shl 30) }.toPersistentList()
                val counts = (1..10_000).groupingBy { even.chooseFor("request-$it") }.eachCount()
                counts.values.forEach { it shouldBeInRange 2_200..2_800 }
                counts.size shouldBe 4
            }
        }
    })
