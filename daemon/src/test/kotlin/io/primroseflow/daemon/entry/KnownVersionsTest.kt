package io.primroseflow.daemon.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.ServiceId

private fun target(version: String?, service: String = "s", isLeaving: Boolean = false) =
    FleetTarget(
        TargetId("$service-$version"),
        ServiceId(service),
        "10.0.0.1:1",
        DataCentreId("d"),
        slots = 1,
        isLeaving = isLeaving,
        version = version
    )

class KnownVersionsTest :
    DescribeSpec({
        // Guards against a cut-off host that sends requests to a version ordered after the cut.
        describe("a list that a host on its own has read") {
            val known = KnownVersions()
            known.learn(listOf(target("v1"), target("v2", isLeaving = true)))

            it("is used without versions that no scheduler has told of") {
                known.usable(listOf(target("v1"), target("v3"))) shouldBe listOf(target("v1"))
            }

            it("is used as it is if no known version is left, and for unknown services") {
                for (list in listOf(
                    listOf(target("v3")),
                    listOf(target("v1", isLeaving = true), target("v3")),
                    listOf(target(null, "other"), target("v9", "other"))
                )) {
                    known.usable(list) shouldBe list
                }
            }
        }
    })
