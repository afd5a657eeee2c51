package io.primroseflow.fleet

import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Maximum number of samples kept; at the 95th percentile, 25 of them are above it. */
private const val MAX_SAMPLES = 512

/** Number of samples below which there is no percentile; three of these are above the 95th. */
private const val MIN_SAMPLES = 60

/** Age from which a sample no longer counts, so that a percentile follows the load. */
private val SAMPLE_RETENTION: Duration = 30.seconds

/** Ratio of the bounds of a histogram bucket, and so the largest relative error. */
private const val BUCKET_RATIO = 1.05

/** Number of buckets; the last one begins at about 17 minutes. */
private const val BUCKETS = 285

/**
 * Estimates a percentile of the latencies of recent requests.
 *
 * The latest samples are kept in a ring and counted in buckets of geometric widths. A sample costs a
 * few operations, a query one pass over the buckets, and memory is bounded. This class is not
 * thread-safe.
 *
 * @param fraction fraction of the samples that are at or below the percentile
 */
internal class LatencyPercentile(private val fraction: Double) {
    private val buckets = IntArray(BUCKETS)
    private val sampleBuckets = ShortArray(MAX_SAMPLES)
    private val sampleTimes = LongArray(MAX_SAMPLES)
    private var first = 0
    private var count = 0

    /** Adds a latency of [millis] milliseconds. */
    fun record(millis: Int, now: Instant) {
        if (count == MAX_SAMPLES) removeFirst()
        val bucket = bucketOf(millis)
        val index = (first + count) % MAX_SAMPLES
        sampleBuckets[index] = bucket.toShort()
        sampleTimes[index] = now.toEpochMilliseconds()
        buckets[bucket]++
        count++
    }

    /** Returns the percentile, rounded up to its bucket, or `null` if there are too few samples. */
    fun estimateOrNull(now: Instant): Duration? {
        val oldest = (now - SAMPLE_RETENTION).toEpochMilliseconds()
        while (count > 0 && sampleTimes[first] < oldest) removeFirst()
        if (count < MIN_SAMPLES) return null
        var left = ceil(count * fraction).toInt()
        for (bucket in buckets.indices) {
            left -= buckets[bucket]
            if (left <= 0) return upperBoundOf(bucket)
        }
        return upperBoundOf(BUCKETS - 1)
    }

    private fun removeFirst() {
        buckets[sampleBuckets[first].toInt()]--
        first = (first + 1) % MAX_SAMPLES
        count--
    }

    private fun bucketOf(millis: Int): Int =
        ceil(ln(millis.coerceAtLeast(1).toDouble()) / ln(BUCKET_RATIO)).toInt()
            .coerceAtMost(BUCKETS - 1)

    private fun upperBoundOf(bucket: Int): Duration =
        ceil(BUCKET_RATIO.pow(bucket)).toInt().milliseconds
}
