package io.primroseflow.daemon.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.primroseflow.model.TeamId

private const val LIMIT = 1_000L

private val slowTeam = TeamId("slow")

private val otherTeam = TeamId("other")

private class Fixture {
    val memory = CallerMemory(LIMIT)
    val ended = ArrayList<String>()
    val woken = ArrayList<String>()

    fun open(name: String, team: TeamId): CallerMemory.Share {
        lateinit var share: CallerMemory.Share
        val owner = object : CallerMemory.Owner {
            override fun onRoom() {
                woken += name
            }

            override fun onExhausted() {
                ended += name
                share.close()
            }
        }
        share = memory.openShare(team, owner)
        return share
    }
}

class CallerMemoryTest :
    DescribeSpec({
        describe("memory that a team fills") {
            // One team's callers that do not read must not stop the targets of other teams.
            it("has no room for that team first and room for another one") {
                with(Fixture()) {
                    val slow = List(10) { open("s$it", slowTeam) }
                    while (slow.any { it.hasRoom }) slow.filter { it.hasRoom }.forEach { it.add(5) }
                    val other = open("o", otherTeam)
                    other.add(100)
                    other.hasRoom shouldBe true
                    slow.none { it.awaitsRoom().not() } shouldBe true
                    memory.heldBytes shouldBeLessThanOrEqual LIMIT
                }
            }

            // A caller that reads all it gets must not wait for others of its team.
            it("has room for a caller of that team that holds nothing") {
                with(Fixture()) {
                    val slow = open("s", slowTeam)
                    while (slow.hasRoom) slow.add(10)
                    open("fast", slowTeam).hasRoom shouldBe true
                }
            }

            it("wakes a writer once there is room again") {
                with(Fixture()) {
                    val slow = open("s", slowTeam)
                    while (slow.hasRoom) slow.add(10)
                    slow.awaitsRoom() shouldBe true
                    slow.remove(50)
                    woken shouldContainExactly listOf("s")
                    memory.waitingCount shouldBe 0
                }
            }
        }

        describe("memory that is used up") {
            // Writers add before they wait, so many new ones could exceed the limit together.
            it("ends the output that holds most of the team that holds most") {
                with(Fixture()) {
                    val large = open("large", slowTeam)
                    val small = open("small", slowTeam)
                    val other = open("other", otherTeam)
                    large.add(500)
                    small.add(100)
                    other.add(380)
                    open("new", otherTeam).add(50)
                    ended shouldContainExactly listOf("large")
                    memory.heldBytes shouldBe 530
                    large.add(10)
                    memory.heldBytes shouldBe 530
                }
            }

            it("is free after all outputs have closed, also with what their sockets still send") {
                with(Fixture()) {
                    val share = open("s", slowTeam)
                    share.add(300)
                    share.close()
                    share.remove(300)
                    memory.heldBytes shouldBe 0
                }
            }
        }
    })
