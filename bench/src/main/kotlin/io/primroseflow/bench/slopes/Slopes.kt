package io.primroseflow.bench.slopes

import java.util.Locale
import kotlin.math.abs

/** A measured value at one size. */
public data class Sample(val size: Double, val value: Double)

/**
 * A straight line through samples.
 *
 * @property residual largest distance of a sample from the line, as a fraction of the largest value
 */
public data class Slope(val base: Double, val perUnit: Double, val residual: Double)

/** Fits a line to [samples] by least squares. */
public fun fitLine(samples: List<Sample>): Slope {
    require(samples.size >= 2) { "a line needs two samples" }
    val meanSize = samples.map { it.size }.average()
    val meanValue = samples.map { it.value }.average()
    val spread = samples.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val joint = samples.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val perUnit = joint / spread
    val base = meanValue - perUnit * meanSize
    val largest = samples.maxOf { abs(it.value) }
    val residual = samples.maxOf { abs(it.value - base - perUnit * it.size) } / largest
    return Slope(base, perUnit, residual)
}

/** Prints [samples] of one quantity and the line through them. */
public fun printSlope(name: String, unit: String, against: String, samples: List<Sample>) {
    println("$name [$unit] against $against")
    samples.forEach { println(format("  %12.0f  %14.3f", it.size, it.value)) }
    val slope = fitLine(samples)
    val line = "  line: %.4g + %.4g for each, largest residual %.0f %%"
    println(format(line, slope.base, slope.perUnit, 100 * slope.residual))
}

private fun format(pattern: String, vararg values: Any): String =
    String.format(Locale.ROOT, pattern, *values)
