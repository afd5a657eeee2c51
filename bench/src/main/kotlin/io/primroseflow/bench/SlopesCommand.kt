package io.primroseflow.bench

import io.primroseflow.bench.slopes.printControlSlopes
import io.primroseflow.bench.slopes.printDecisionSlopes
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Measures the slopes that docs/CAPACITY.md is worked out from. */
@OptIn(ExperimentalCli::class)
internal class SlopesCommand :
    Subcommand("slopes", "Measure the cost of decisions and of the control state against size") {
    override fun execute() {
        printDecisionSlopes()
        printControlSlopes()
    }
}
