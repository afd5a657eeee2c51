package io.primroseflow.fleet

/** Bounds of a sample as a multiple of the service's cost, so that an outlier does not count much. */
private val SAMPLE_RANGE = 0.2..10.0

/** Prompt tokens below which the way to the target outweighs the prefill in the time it took. */
private const val MIN_PREFILL_SAMPLE = 500

/** Output tokens below which the time of a step is not measured well enough. */
private const val MIN_DECODE_SAMPLE = 16

/** Estimate of the duration of a call before any has ended, in milliseconds. */
private const val FIRST_CALL_MILLIS = 20.0

/**
 * A learnt cost of a unit of work, such as a token, in milliseconds.
 *
 * It is the time of all work divided by its units, so that short requests, which measure it badly,
 * count little. Older work is forgotten.
 *
 * @param initialUnits number of units that [initial] counts as
 * @param memory number of units after which the weight of a sample has about halved
 * @param initial returns the cost without samples
 */
internal class UnitCost(
    private val initialUnits: Double,
    private val memory: Double,
    private val initial: () -> Double
) {
    private var units = 0.0
    private var millis = 0.0

    /** Cost of a unit in milliseconds. */
    val millisPerUnit: Double
        get() = (millis + initial() * initialUnits) / (units + initialUnits)

    /** Adds work of [sampleUnits] that took [sampleMillis]. */
    fun record(sampleMillis: Double, sampleUnits: Int) {
        val kept = memory / (memory + sampleUnits)
        millis = millis * kept + sampleMillis
        units = units * kept + sampleUnits
    }
}

/** The learnt costs of a prompt token, an output token and a call of one service, at a pace of 1. */
internal class ServiceCosts {
    val prompt = UnitCost(20_000.0, memory = 500_000.0) { PREFILL_MILLIS_PER_TOKEN }
    val output = UnitCost(2_000.0, memory = 50_000.0) { DECODE_MILLIS_PER_TOKEN }
    val call = UnitCost(2.0, memory = 100.0) { FIRST_CALL_MILLIS }
}

/**
 * The learnt and stated speed of one target.
 *
 * Learnt costs hold for a pace of 1, so that a permanent difference that the pace states does not
 * count twice. Prefill and decoding are learnt apart and by the work of each request, so that a
 * change of the mix of requests does not look like one of the speed. A target has the costs of its
 * service until it has shown its own. These follow its last five requests or so, which is what an
 * engine completes in a second.
 */
internal class TargetSpeed(private val service: ServiceCosts) {
    val pace = TargetPace()
    private val prompt = UnitCost(1_000.0, memory = 15_000.0) { service.prompt.millisPerUnit }
    private val output = UnitCost(60.0, memory = 1_500.0) { service.output.millisPerUnit }
    private val call = UnitCost(1.0, memory = 5.0) { service.call.millisPerUnit }

    /** Cost of a prompt token at a pace of 1, in milliseconds. */
    val promptMillis: Double get() = prompt.millisPerUnit

    /** Cost of an output token at a pace of 1, in milliseconds. */
    val outputMillis: Double get() = output.millisPerUnit

    /** Cost of a call at a pace of 1, in milliseconds. */
    val callMillis: Double get() = call.millisPerUnit

    /** Records a prefill of [tokens] that took [millis] at a pace of 1. */
    fun recordPrefill(millis: Double, tokens: Int) {
        if (tokens >= MIN_PREFILL_SAMPLE) record(prompt, service.prompt, millis, tokens)
    }

    /** Records the decoding of [tokens] that took [millis] at a pace of 1. */
    fun recordDecode(millis: Double, tokens: Int) {
        if (tokens >= MIN_DECODE_SAMPLE) record(output, service.output, millis, tokens)
    }

    /** Records a call that took [millis] at a pace of 1. */
    fun recordCall(millis: Double) = record(call, service.call, millis, 1)

    private fun record(own: UnitCost, common: UnitCost, millis: Double, units: Int) {
        val expected = common.millisPerUnit * units
        val bounded = (millis / expected).coerceIn(SAMPLE_RANGE) * expected
        own.record(bounded, units)
        common.record(bounded, units)
    }
}
