package io.primroseflow.bench.slopes

import java.util.Locale
import kotlin.math.abs

/** A [value] measured at one [size]. */
public data class Sample(val size: Double, val value: Double)

/**
 * A straight line fitted to samples.
 *
 * @property intercept value of the line at size 0
 * @property slope increase of the value per unit of size
 * @property maxRelativeResidual largest distance of a sample from the line, as a fraction of the
 *   largest absolute value of all samples
 */
public data class LinearFit(
    val intercept: Double,
    val slope: Double,
    val maxRelativeResidual: Double
)

/**
 * Fits a line to [samples] by least squares.
 *
 * @throws IllegalArgumentException if there are fewer than 2 samples
 */
public fun fitLine(samples: List<Sample>): LinearFit {
    require(samples.size >= 2) { "fitting a line requires at least 2 samples, got ${samples.size}" }
    val meanSize = samples.map { it.size }.average()
    val meanValue = samples.map { it.value }.average()
    val sizeVariation = samples.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val covariation = samples.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val slope = covariation / sizeVariation
    val intercept = meanValue - slope * meanSize
    val largestValue = samples.maxOf { abs(it.value) }
    val maxRelativeResidual =
        samples.maxOf { abs(it.value - intercept - slope * it.size) } / largestValue
    return LinearFit(intercept, slope, maxRelativeResidual)
}

/** Prints [samples] of the quantity [name] and the line fitted to them. */
public fun printLinearFit(name: String, unit: String, against: String, samples: List<Sample>) {
    println("$name [$unit] against $against")
    samples.forEach { println(format("  %12.0f  %14.3f", it.size, it.value)) }
    val fit = fitLine(samples)
    val linePattern = "  line: %.4g + %.4g for each, largest residual %.0f %%"
    println(format(linePattern, fit.intercept, fit.slope, 100 * fit.maxRelativeResidual))
}

private fun format(pattern: String, vararg values: Any): String =
    String.format(Locale.ROOT, pattern, *values)
