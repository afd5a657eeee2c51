package io.primroseflow.daemon.fleet

import io.primroseflow.daemon.EventLog
import io.primroseflow.fleet.PartQuarantine
import io.primroseflow.fleet.QuarantineEvent

/**
 * Logs the changes of [quarantine] since the last call.
 *
 * @return whether the parts that are held back have changed
 */
internal fun logQuarantine(quarantine: PartQuarantine, log: EventLog): Boolean {
    val events = quarantine.takeEvents()
    for (event in events) {
        when (event) {
            is QuarantineEvent.Suspected -> log.info(
                "part_suspected",
                "part" to event.part,
                "target" to event.target,
                "crashes" to event.count
            )

            is QuarantineEvent.Quarantined -> log.warn(
                "part_quarantined",
                "part" to event.part,
                "targets" to event.targets,
                "since_first_ms" to event.sinceFirstCrash.inWholeMilliseconds
            )

            is QuarantineEvent.Released ->
                log.warn("part_released", "part" to event.part, "cause" to event.cause)
        }
    }
    return events.any { it !is QuarantineEvent.Suspected }
}
