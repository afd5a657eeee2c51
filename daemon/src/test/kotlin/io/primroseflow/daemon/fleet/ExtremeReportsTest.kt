package io.primroseflow.daemon.fleet

import com.github.michaelbull.result.Ok
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.primroseflow.control.AcceptedPolicy
import io.primroseflow.control.ControlCommand
import io.primroseflow.control.OperationId
import io.primroseflow.control.PolicyHead
import io.primroseflow.control.PolicyRevision
import io.primroseflow.control.Rollout
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.peer.HeldSlotRecord
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.daemon.peer.QuarantineReport
import io.primroseflow.daemon.peer.RateReport
import io.primroseflow.daemon.peer.SlotRequestRecord
import io.primroseflow.daemon.peer.StatedRateRecord
import io.primroseflow.daemon.peer.TargetConditionRecord
import io.primroseflow.fleet.CrashRecord
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.PartRecord
import io.primroseflow.fleet.QuotaTolerance
import io.primroseflow.fleet.SlotRefusal
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.routing.CallerBounds
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.RoutedPolicy
import io.primroseflow.routing.RoutedService
import io.primroseflow.routing.RoutedTeam
import io.primroseflow.routing.ServiceId
import io.primroseflow.routing.TeamQuota
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

private const val TERM = 1L

private val service = ServiceId("s")

private val team = TeamId("t")

private val here = DataCentreId("d")

private val ordinary = HostId("ordinary")

private val odd = HostId("odd")

private val other = HostId("other")

private val targets = listOf("1", "2").map {
    FleetTarget(TargetId(it), service, "10.0.0.1:$it", here, slots = 2, isLeaving = false)
}

private val routedPolicy = RoutedPolicy(
    revision = PolicyRevision(1),
    routes = persistentListOf(),
    services = persistentMapOf(service to RoutedService(service, 100, kvTokens = null)),
    teams = persistentMapOf(team to RoutedTeam(team, null, TeamQuota(100.0, 100.0, 50))),
    credentials = persistentMapOf(),
    bounds = CallerBounds(4_000, 100_000, 3.seconds, 15.seconds)
)

private val sound = SlotRequestRecord(
    ticket = 1,
    service = service,
    route = RouteId("r"),
    team = team,
    dataCentre = here,
    rank = 0,
    tier = 0,
    cost = 0,
    isStream = false,
    promptTokens = 0,
    outputHint = null,
    outputLimit = 0,
    parts = emptyList(),
    excluded = emptySet(),
    isRetry = false,
    waitedMillis = 0,
    goalMillis = 1_000,
    startByMillis = 5_000,
    deadlineMillis = 5_000
)

private val idle = PeerMessage.HostReport(
    number = 1,
    term = TERM,
    policy = PolicyRevision(1),
    fleet = 0,
    dataCentre = here,
    held = emptyList(),
    waiting = emptyList(),
    knownHeld = emptyList(),
    knownWaiting = emptyList(),
    used = emptyMap(),
    quarantine = QuarantineReport(digest = 0),
    rates = RateReport(digest = 0)
)

private fun rate(perSecond: Double?, ageMillis: Long = 0) =
    idle.copy(rates = RateReport(0, listOf(StatedRateRecord(TargetId("1"), perSecond, ageMillis))))

private fun rates(perSecond: Double) = idle.copy(
    rates = RateReport(0, targets.map { StatedRateRecord(it.id, perSecond, ageMillis = 0) })
)

private fun usage(vararg units: Long) = idle.copy(used = mapOf(team to units.toList()))

private fun evidence(crashes: List<CrashRecord>, credit: Int = 0) = idle.copy(
    quarantine = QuarantineReport(0, listOf(PartRecord("p", crashes, credit, false)))
)

private fun crashes(count: Int, ageMillis: Long) =
    List(count) { CrashRecord(TargetId("c$it"), ageMillis, setOf("r$it")) }

private val extremes = mapOf(
    "rates that are no number" to rates(Double.NaN),
    "infinite rates" to rates(Double.POSITIVE_INFINITY),
    "high rates" to rates(Double.MAX_VALUE),
    "negative rates" to rates(-Double.MAX_VALUE),
    "an old rate" to rate(1.0, Long.MAX_VALUE),
    "rates of many unknown targets" to idle.copy(
        rates = RateReport(0, List(20_000) { StatedRateRecord(TargetId("u$it"), 1.0, 0) })
    ),
    "the longest rests" to idle.copy(
        conditions = targets.map { TargetConditionRecord(it.id, Long.MAX_VALUE) }
    ),
    "negative rests" to idle.copy(
        conditions = targets.map { TargetConditionRecord(it.id, Long.MIN_VALUE) }
    ),
    "conditions of many unknown targets" to idle.copy(
        conditions = List(20_000) { TargetConditionRecord(TargetId("u$it"), null) }
    ),
    "usage of an unknown team" to idle.copy(used = mapOf(TeamId("u") to listOf(Long.MAX_VALUE))),
    "negative usage" to usage(Long.MIN_VALUE, -1),
    "usage whose sum is zero" to usage(-1, 1),
    "no usage" to usage(),
    "crashes to come" to evidence(crashes(2, Long.MIN_VALUE)),
    "crashes long ago" to evidence(crashes(2, Long.MAX_VALUE), Int.MIN_VALUE),
    "many known tickets" to idle.copy(
        knownHeld = List(20_000) { Long.MIN_VALUE + it },
        knownWaiting = List(20_000) { Long.MAX_VALUE - it }
    ),
    "a ticket in each list" to idle.copy(
        held = listOf(HeldSlotRecord(sound, TargetId("1"))),
        waiting = listOf(sound, sound),
        knownHeld = listOf(1, 1),
        knownWaiting = listOf(1, 1)
    ),
    "a slot at an unknown target" to idle.copy(
        held = listOf(HeldSlotRecord(sound, TargetId("u")))
    ),
    "requests of an unknown service and team" to idle.copy(
        waiting = listOf(sound.copy(service = ServiceId("u"), team = TeamId("u")))
    ),
    "high numbers" to idle.copy(
        number = Long.MAX_VALUE,
        term = Long.MAX_VALUE,
        policy = PolicyRevision(Long.MAX_VALUE),
        fleet = Long.MAX_VALUE,
        rates = RateReport(Int.MAX_VALUE),
        quarantine = QuarantineReport(Int.MAX_VALUE)
    ),
    "negative numbers" to idle.copy(
        number = Long.MIN_VALUE,
        term = Long.MIN_VALUE,
        policy = PolicyRevision(Long.MIN_VALUE),
        fleet = Long.MIN_VALUE,
        rates = RateReport(Int.MIN_VALUE),
        quarantine = QuarantineReport(Int.MIN_VALUE)
    )
)

/** A leading control host that has no connections, its clock, and what it sends. */
private class Leader {
    private var now = Instant.fromEpochSeconds(1_000)
    private val clock = object : Clock {
        override fun now() = this@Leader.now
    }
    private val sent = ArrayList<Pair<HostId, PeerMessage>>()
    private val group = object : SchedulerGroup {
        override val leadership = Leadership(TERM, HostId("c"), listOf(HostId("c")))
        override val isLeader = true

        override fun send(to: HostId, message: PeerMessage) {
            sent += to to message
        }

        override fun confirmPolicy(onRead: (PolicyRevision) -> Unit) = onRead(PolicyRevision(1))

        override fun readRollouts(onRead: (List<Rollout>) -> Unit) = onRead(emptyList())

        override fun endRollout(end: ControlCommand.EndRollout) = Unit
    }
    private val log = EventLog("test", "c")
    private val policy = RoutedPolicyInForce({ Ok(routedPolicy) }, log) {}
    private var lastTicket = 100L
    val scheduler: SharedScheduler

    init {
        val head = PolicyHead(PolicyRevision(1), OperationId("op"), "operator", atMillis = 0)
        policy.offer(AcceptedPolicy(head, documentSource("")))
        scheduler = SharedScheduler(
            group,
            policy,
            clock,
            QuotaTolerance(1.seconds, ratio = 0.0, units = 0.0),
            RetryLimits(),
            log
        )
        scheduler.onTargets(targets)
        scheduler.tick()
    }

    fun report(from: HostId, report: PeerMessage.HostReport = idle) = scheduler.handle(from, report)

    /** Lets [time] pass, in which the hosts send reports without requests. */
    fun pass(time: Duration, hosts: List<HostId> = listOf(ordinary)) {
        val end = now + time
        while (now < end) {
            now = minOf(now + 100.milliseconds, end)
            hosts.forEach { report(it) }
            scheduler.tick()
            scheduler.confirmReports()
        }
    }

    /** Returns the answers to a new request of [from] that is like [request]. */
    fun request(from: HostId, request: SlotRequestRecord = sound): List<PeerMessage> {
        sent.clear()
        scheduler.handle(from, PeerMessage.Wish(TERM, request.copy(ticket = ++lastTicket)))
        return sent.map { it.second }
    }

    fun grants(from: HostId, request: SlotRequestRecord = sound): Boolean =
        request(from, request).any { it is PeerMessage.SlotGranted }

    /** Returns the hosts whose reports get an answer now. */
    fun answered(): Set<HostId> {
        sent.clear()
        scheduler.confirmReports()
        return sent.filter { it.second is PeerMessage.ReportReply }.mapTo(HashSet()) { it.first }
    }
}

private fun checkOthersServed(extreme: PeerMessage.HostReport) {
    val leader = Leader()
    leader.report(ordinary)
    repeat(2) { leader.report(odd, extreme) }
    withClue("its report is answered") { leader.answered() shouldContain odd }
    withClue("beside it") {
        leader.pass(500.milliseconds)
        leader.grants(ordinary, sound.copy(cost = 10)) shouldBe true
    }
    // Reported once more as by a host that attaches again.
    leader.pass(3.seconds)
    leader.report(odd, extreme)
    leader.pass(1.seconds, listOf(ordinary, odd))
    withClue("after it") { leader.grants(ordinary, sound.copy(cost = 10)) shouldBe true }
}

/** Checks that a team that has used up its quota at another host gets no more of it. */
private fun checkQuotaSound(play: Leader.() -> Unit) {
    val leader = Leader()
    leader.report(ordinary)
    leader.report(odd)
    leader.play()
    leader.report(other, usage(200))
    leader.pass(600.milliseconds)
    val answers = leader.request(ordinary, sound.copy(cost = 50))
    answers.filterIsInstance<PeerMessage.SlotRefused>().map { it.reason } shouldBe
        listOf(SlotRefusal.OverQuota)
}

class ExtremeReportsTest :
    DescribeSpec({
        // CONFIG, the class of fault: each new leader gets the same reports of the hosts.
        describe("others get slots beside and after a report with") {
            for ((name, report) in extremes) {
                it(name) { checkOthersServed(report) }
            }
        }

        describe("a rate that is said to be stated later than now") {
            it("gives way to the next statement") {
                val leader = Leader()
                leader.report(ordinary)
                leader.report(
                    odd,
                    rates(0.0).let { report ->
                        val stated = report.rates?.stated.orEmpty()
                        val later = stated.map { it.copy(ageMillis = Long.MIN_VALUE) }
                        report.copy(rates = RateReport(0, later))
                    }
                )
                leader.pass(1.seconds)
                leader.report(ordinary, rates(100.0))
                leader.pass(1.seconds)
                List(3) {
                    leader.pass(100.milliseconds)
                    leader.grants(ordinary)
                } shouldBe List(3) { true }
            }
        }

        describe("a quota that is used up stays so") {
            it("beside a report without any") { checkQuotaSound { } }
            it("beside negative usage that outlasts other usage") {
                checkQuotaSound {
                    pass(2.seconds)
                    val units = LongArray(17).also {
                        it[0] = -1_000
                        it[16] = 1_001
                    }
                    report(odd, usage(*units))
                    pass(200.milliseconds, listOf(ordinary, odd))
                }
            }
            it("beside a request of negative cost") {
                checkQuotaSound { request(odd, sound.copy(cost = -1_000)) }
            }
            it("beside usage whose sum is out of range") {
                checkQuotaSound { report(other, usage(Long.MAX_VALUE, Long.MAX_VALUE)) }
            }
        }

        describe("a waiting request of negative cost that is withdrawn") {
            it("leaves the quota to others") {
                val leader = Leader()
                leader.report(ordinary)
                // A takeover has settled by then, which would raise the level of the quota.
                leader.pass(2.seconds)
                val held = List(4) {
                    val request = sound.copy(ticket = it + 1L)
                    HeldSlotRecord(request, targets[it % 2].id)
                }
                val debtor = sound.copy(ticket = 9, cost = Long.MIN_VALUE)
                leader.report(odd, idle.copy(held = held, waiting = listOf(debtor)))
                leader.scheduler.handle(odd, PeerMessage.Withdrawal(TERM, debtor.ticket))
                leader.report(odd)
                leader.pass(2.seconds, listOf(ordinary, odd))
                leader.grants(ordinary, sound.copy(cost = 10)) shouldBe true
            }
        }

        describe("a slot that is reported twice") {
            it("is free again once it is no longer reported") {
                val leader = Leader()
                leader.report(ordinary)
                val held = targets.map { HeldSlotRecord(sound, it.id) } +
                    List(4) { HeldSlotRecord(sound.copy(ticket = 2), TargetId("1")) }
                leader.report(odd, idle.copy(held = held))
                leader.report(odd)
                List(4) { leader.grants(ordinary) } shouldBe List(4) { true }
            }
        }

        describe("the evidence against a part of a prompt") {
            it("is kept to a number of crashes, since each is compared with all others") {
                val leader = Leader()
                leader.report(odd, evidence(crashes(2_000, ageMillis = 0)))
                val kept = leader.scheduler.quarantine.shouldNotBeNull()
                    .records(Instant.fromEpochSeconds(1_000))
                kept shouldHaveSize 1
                kept.single().crashes.size shouldBeLessThanOrEqual 64
            }

            it("expires although it is said to be of later than now") {
                val leader = Leader()
                leader.report(odd, evidence(crashes(2, Long.MIN_VALUE)))
                leader.pass(11.minutes)
                leader.scheduler.quarantine.shouldNotBeNull().suspectCount shouldBe 0
            }
        }
    })
