package io.primroseflow.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val ENGINES = 6

private const val SLOTS = 13

private fun plan(perSecond: (Duration) -> Double) =
    LoadKind("plan", 0, 5_000, 300, 600.milliseconds, 3.seconds, 12.seconds, perSecond)

private fun question(perSecond: (Duration) -> Double) =
    LoadKind("question", 1, 600, 230, 300.milliseconds, 3.seconds, 12.seconds, perSecond)

private fun tag(perSecond: (Duration) -> Double) =
    LoadKind("tag", 2, 1_500, 20, 400.milliseconds, 3.seconds, 3.seconds, perSecond)

private fun play(vararg kinds: LoadKind, seed: Int = 1) =
    FleetLoad(ENGINES, SLOTS, seed).play(kinds.toList(), 20.seconds)

class FleetLoadTest :
    DescribeSpec({
        // Slots are used up by plans and questions that wait for a moment, but within their aims.
        describe("slots filled by higher work that waits within its aim") {
            val higher = arrayOf(plan { 20.0 }, question { 41.0 })

            it("still serve most of the lower work") {
                val results = play(*higher, tag { 26.0 })
                results.getValue("tag").partInAim shouldBeGreaterThan 0.7
            }

            it("serve the higher work nearly as well as without the lower") {
                val alone = play(*higher)
                val mixed = play(*higher, tag { 26.0 })
                for (name in listOf("plan", "question")) {
                    mixed.getValue(name).partInAim shouldBeGreaterThan
                        alone.getValue(name).partInAim - 0.08
                }
            }
        }

        // A burst of the lowest kind, three times its usual, for six seconds.
        describe("a burst of the lowest kind") {
            it("takes nothing from the higher kinds") {
                val burst = tag { if (it in 4.seconds..10.seconds) 90.0 else 26.0 }
                val results = play(plan { 18.0 }, question { 36.0 }, burst)
                results.getValue("plan").partInAim shouldBeGreaterThan 0.95
                results.getValue("question").partInAim shouldBeGreaterThan 0.9
            }
        }

        // Plans alone need more slots than there are, for eight seconds.
        describe("more of the highest kind than there are slots") {
            it("is served first, and what is served of it mostly begins in time") {
                val burst = plan { if (it in 4.seconds..12.seconds) 90.0 else 15.0 }
                val results = play(burst, question { 32.0 }, tag { 26.0 })
                val plans = results.getValue("plan")
                plans.served shouldBeGreaterThan results.getValue("question").served
                plans.served shouldBeGreaterThan results.getValue("tag").served - 0.05
            }
        }

        describe("any load") {
            it("never puts more requests at an engine than it has slots") {
                val load = FleetLoad(ENGINES, SLOTS, seed = 2)
                load.play(listOf(plan { 60.0 }, question { 60.0 }, tag { 60.0 }), 10.seconds)
                load.busiest shouldBeLessThanOrEqual SLOTS
            }
        }
    })
