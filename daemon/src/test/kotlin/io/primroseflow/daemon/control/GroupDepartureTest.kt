package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class GroupDepartureTest :
    DescribeSpec({
        describe("control hosts that are replaced as planned") {
            // A stopped host stayed a voter until it counted as silent. The stop of another one in
            // that time left the group without a leader for good.
            it("leave a group that goes on, if they stop right after each other") {
                ControlHostGroup(voters = 3).use { group ->
                    val founders = (1..3).map { group.Member("127.0.0.${80 + it}", "d") }
                    val successors = (4..5).map { group.Member("127.0.0.${80 + it}", "d") }
                    group.run {
                        founders.forEach { it.start(founders, isFirst = true) }
                        put(founders, 1)
                        successors.forEach { it.start(founders) }
                        awaitGroup(founders, voters = 3, learners = 2)
                        founders.take(2).forEach { it.stop() }
                        val rest = founders.drop(2) + successors
                        read(rest) shouldBe "1"
                        put(rest, 2)
                    }
                }
            }
        }

        describe("a control host that is to stop") {
            it("stops although no other host can take its place") {
                ControlHostGroup(voters = 3).use { group ->
                    val founders = (1..3).map { group.Member("127.0.0.${85 + it}", "d") }
                    group.run {
                        founders.forEach { it.start(founders, isFirst = true) }
                        put(founders, 1)
                        val leader = awaitLeader(founders)
                        leader.stop()
                        put(founders - leader, 2)
                    }
                }
            }

            it("stops although there is no leader") {
                ControlHostGroup(voters = 3).use { group ->
                    val founders = (1..3).map { group.Member("127.0.0.${88 + it}", "d") }
                    group.run {
                        founders.forEach { it.start(founders, isFirst = true) }
                        put(founders, 1)
                        founders.drop(1).forEach { it.kill() }
                        founders.first().stop()
                    }
                }
            }
        }
    })
