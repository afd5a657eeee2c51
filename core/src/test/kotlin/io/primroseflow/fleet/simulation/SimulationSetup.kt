package io.primroseflow.fleet.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A kind of trouble that a [FleetSimulation] may play. */
enum class Trouble {
    /** A target states a rate, changes it and may cease to state it. */
    StatedRate,

    /** A target says that it is leaving and ends later; another one takes its place. */
    Leaving,

    /** A target turns all requests away and states for how long. */
    Resting,

    /** A target ends at once and comes back, with its former name or as another one. */
    Crash,

    /** A third of the targets end at once. */
    RackCrash,

    /** Requests with one part in their prompts end each target that begins to answer them. */
    CrashingPart,

    /** Another target answers at the address of an ended one, which the list still shows. */
    ReusedAddress,

    /** A target accepts requests and does not answer them. */
    Hanging,

    /** A target turns some requests away without a word on how long. */
    Shedding,

    /** A target breaks off some of its answers and lives on. */
    BrokenAnswers,

    /** A target takes several times as long. */
    Slow,

    /** Connections to a target take long to open, so that requests to it wait and come together. */
    SlowConnect,

    /** A host that knows nothing joins. */
    HostJoin,

    /** A host handles no message for a time. */
    HostFreeze,

    /** A host cannot reach the scheduler for a time. */
    HostCut,

    /** A scheduler that knows nothing takes over. */
    SchedulerMove
}

/** A fault that is put into the wiring of the simulated hosts, to show that the judge finds it. */
enum class WiringFault {
    /** Hosts ignore what targets state about themselves. */
    NoticesIgnored,

    /** Hosts on their own use their part of a rate as they like, not by turns. */
    BucketPerHost,

    /** New schedulers are not told of rates that hosts know. */
    RatesLostAtTakeover,

    /** Each answer without a rate ends it, whenever its request was sent. */
    LateAnswerEndsRate,

    /** Hosts use grants that are any time old. */
    OldGrantsUsed
}

/**
 * The dimensions of a simulation.
 *
 * @property meanInterval mean time between two requests
 * @property earlyHeaders fraction of the answers whose header is written when the request arrives,
 *   long before it is sent
 * @property kinds kinds of trouble that may come
 * @property troubles number of troubles, those of kinds that are left out included
 */
data class SimulationSetup(
    val seed: Int,
    val hosts: Int = 6,
    val targets: Int = 8,
    val slots: Int = 4,
    val duration: Duration = 24.seconds,
    val meanInterval: Duration = 12.milliseconds,
    val earlyHeaders: Double = 0.2,
    val kinds: Set<Trouble> = Trouble.entries.toSet(),
    val troubles: Int = 12,
    val fault: WiringFault? = null
)
