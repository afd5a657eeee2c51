package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay

class GroupAdmissionTest :
    DescribeSpec({
        describe("a control host whose only seed follows") {
            // Such a host asked its seed for ever and never joined, so a lost disk was not replaced.
            it("joins the group") {
                ControlHostGroup(voters = 3).use { group ->
                    val founders = (1..3).map { group.Member("127.0.0.${70 + it}", "d") }
                    val added = group.Member("127.0.0.74", "d")
                    group.run {
                        founders.forEach { it.start(founders, isFirst = true) }
                        val leader = awaitLeader(founders)
                        added.start(seeds = listOf(founders.first { it !== leader }))
                        awaitGroup(founders, voters = 3, learners = 1)
                    }
                }
            }

            it("joins the group again after the loss of its disk, and replaces its lost replica") {
                ControlHostGroup(voters = 3).use { group ->
                    val founders = (1..3).map { group.Member("127.0.0.${74 + it}", "d") }
                    group.run {
                        founders.forEach { it.start(founders, isFirst = true) }
                        put(founders, 1)
                        val leader = awaitLeader(founders)
                        val (lost, seed) = founders.filter { it !== leader }
                        lost.loseDisk()
                        lost.start(seeds = listOf(lost, seed))
                        while (lost.gauge("voters") == 0) delay(20.milliseconds)
                        awaitGroup(founders, voters = 3, learners = 0)
                        seed.loseDisk()
                        read(listOf(leader, lost)) shouldBe "1"
                    }
                }
            }
        }

        describe("a control host that has lost its disk and none of whose seeds runs") {
            // Such a host had nobody to ask, though the members went on to send to its former id.
            it("joins the group again") {
                ControlHostGroup(voters = 3).use { group ->
                    val founders = (1..3).map { group.Member("127.0.0.${91 + it}", "d") }
                    val gone = group.Member("127.0.0.95", "d")
                    group.run {
                        founders.forEach { it.start(founders, isFirst = true) }
                        val leader = awaitLeader(founders)
                        val lost = founders.first { it !== leader }
                        lost.loseDisk()
                        lost.start(seeds = listOf(gone))
                        while (lost.gauge("voters") == 0) delay(20.milliseconds)
                        awaitGroup(founders, voters = 3, learners = 0)
                    }
                }
            }
        }
    })
