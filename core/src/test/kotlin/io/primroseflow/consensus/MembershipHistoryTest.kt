package io.primroseflow.consensus

import io.kotest.assertions.throwables.shouldNotThrowAny
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Number of random histories; the system property `primroseflow.seeds` overrides it. */
private val seedCount = Integer.getInteger("primroseflow.seeds", 300)

/** The only seed to run, given by the system property `primroseflow.seed`. */
private val singleSeed: Int? = Integer.getInteger("primroseflow.seed")

class MembershipHistoryTest :
    DescribeSpec({
        // What was acknowledged could not be read any more, though no more machines were lost than
        // the group bears: a host never joined again, or a stopped one kept its vote.
        describe("a control group whose machines come and go") {
            it("keeps what was acknowledged readable") {
                for (seed in singleSeed?.let { it..it } ?: (0 until seedCount)) {
                    withClue("replay with -Dprimroseflow.seed=$seed") {
                        shouldNotThrowAny { MembershipHistory(seed).run() }
                    }
                }
            }

            for (fault in MembershipFault.entries) {
                it("loses it with $fault") {
                    (0 until seedCount).firstOrNull { seed ->
                        try {
                            MembershipHistory(seed, fault).run()
                            false
                        } catch (_: Violation) {
                            true
                        }
                    }.shouldNotBeNull()
                }
            }
        }

        describe("a machine that is to stop while there is no leader") {
            it("stops within its grace") {
                val simulation = MembershipSimulation(Random(1), tolerated = 1)
                val machines = List(3) { simulation.addMachine(DataCentreId("a")) }
                val seeds = machines.map { HostId(it.address) }.toSet()
                machines.forEach { it.start(seeds, isFirst = true) }
                simulation.run(5.seconds)
                machines.drop(1).forEach { it.kill() }
                machines.first().stop {}
                simulation.run(8.seconds)
                machines.first().isRunning shouldBe false
            }
        }
    })
