package io.primroseflow.daemon.fleet

import io.primroseflow.daemon.EventLog
import io.primroseflow.fleet.FleetScheduler
import io.primroseflow.fleet.RankShare
import io.primroseflow.routing.ServiceId
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Time between two looks, which bounds the lines; a shortage counts for a second at least. */
private val INTERVAL: Duration = 1.seconds

/** Logs when a shortage of the slots of a service begins and ends. */
internal class ShortageLog(private val log: EventLog) {
    private var short: Set<ServiceId> = emptySet()
    private var lookedAt = Instant.DISTANT_PAST

    /** Compares the services that [scheduler] finds short of slots with those of the last look. */
    fun update(scheduler: FleetScheduler, now: Instant) {
        if (now - lookedAt < INTERVAL) return
        lookedAt = now
        val shortages = scheduler.shortages(now)
        for (service in shortages.keys - short) log.warn("shortage_began", "service" to service)
        for (service in short - shortages.keys) {
            log.info("shortage_ended", "service" to service, "shares" to describe(scheduler))
        }
        short = shortages.keys
    }

    private fun describe(scheduler: FleetScheduler): String =
        scheduler.status().admission.shares.entries.sortedBy { it.key }
            .take(MAX_RANKS)
            .joinToString { (rank, share) -> "$rank: ${share.describe()}" }

    private fun RankShare.describe() =
        String.format(Locale.ROOT, "%.2f in time, %.2f served", inTime, served)

    private companion object {
        /** Highest number of ranks in a line. */
        const val MAX_RANKS = 12
    }
}
