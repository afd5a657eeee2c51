package io.primroseflow.fleet

/**
 * Fraction of the answers that are to begin within the expected time. Half of them would begin too
 * late if the mean was expected, and a larger fraction would leave slots to requests that are late.
 */
private const val EXPECTED_FRACTION = 2.0 / 3

/** Step by which a sample moves the learnt ratio. */
private const val STEP = 0.05

/** Bounds of the ratio; longer delays come from targets in trouble, which others can replace. */
private val RATIO_RANGE = 1.0..4.0

/**
 * Learns how much longer answers take to begin than their prompts take to be prefilled, because of
 * the prefills of other requests at the same target and of slow targets.
 *
 * A request that is granted a slot just before its goal would otherwise begin after it, so that
 * under overload slots go to requests that are late in the end.
 */
internal class StartTimes {
    /** Time to the first event as a multiple of [START_OVERHEAD_MILLIS] and the prefill. */
    var ratio: Double = RATIO_RANGE.start
        private set

    /** Records an answer that began after [actualMillis] instead of [expectedMillis]. */
    fun record(actualMillis: Double, expectedMillis: Double) {
        val isLonger = actualMillis > ratio * expectedMillis
        val step = if (isLonger) EXPECTED_FRACTION else EXPECTED_FRACTION - 1
        ratio = (ratio + STEP * step).coerceIn(RATIO_RANGE)
    }
}
