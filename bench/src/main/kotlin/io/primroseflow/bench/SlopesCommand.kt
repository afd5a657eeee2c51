package io.primroseflow.bench

import io.primroseflow.bench.slopes.printControlSlopes
import io.primroseflow.bench.slopes.printDecisionSlopes
import io.primroseflow.bench.slopes.printFleetSlopes
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Measures how costs grow with the size of the system; docs/CAPACITY.md uses the results. */
@OptIn(ExperimentalCli::class)
internal class SlopesCommand :
    Subcommand("slopes", "Measure the cost of decisions and of the control state against size") {
    override fun execute() {
        printDecisionSlopes()
        printFleetSlopes()
        printControlSlopes()
    }
}
