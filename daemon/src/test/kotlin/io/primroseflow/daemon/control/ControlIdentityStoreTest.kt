package io.primroseflow.daemon.control

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.primroseflow.daemon.peer.machine
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.model.HostId
import java.nio.file.Files
import kotlin.random.Random

private val seeds = setOf(HostId("10.0.0.1"), HostId("10.0.0.2"), HostId("10.0.0.3"))

class ControlIdentityStoreTest :
    DescribeSpec({
        fun withStore(block: (ControlIdentityStore) -> Unit) {
            val path = Files.createTempDirectory("identity")
            DiskFolder(path).use { block(ControlIdentityStore(it, "10.0.0.1", Random(7))) }
            path.toFile().deleteRecursively()
        }

        describe("the identity of a replica") {
            it("has the address of its machine as host id in a new group") {
                withStore { it.newFounder(seeds).host shouldBe HostId("10.0.0.1") }
            }

            it("is stored on its disk") {
                withStore {
                    it.findOrNull() shouldBe null
                    val joiner = it.newJoiner()
                    it.save(joiner)
                    it.findOrNull() shouldBe joiner
                }
            }

            it("has a new host id and no voters if its disk is empty") {
                withStore {
                    val first = it.newJoiner()
                    val second = it.newJoiner()
                    first.host shouldNotBe second.host
                    first.host shouldNotBe HostId("10.0.0.1")
                    first.host.machine() shouldBe "10.0.0.1"
                    first.initialMembership.voters.shouldBeEmpty()
                }
            }
        }
    })
