package io.primroseflow.daemon.entry

import com.github.michaelbull.result.Err
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.primroseflow.control.PolicyRevision
import io.primroseflow.daemon.EventLog
import io.primroseflow.daemon.fleet.RoutedPolicyInForce
import io.primroseflow.daemon.peer.PeerMessage
import io.primroseflow.fleet.FleetShare
import io.primroseflow.fleet.FleetTarget
import io.primroseflow.fleet.HostRates
import io.primroseflow.fleet.SlotDecision
import io.primroseflow.fleet.SlotRequest
import io.primroseflow.limits.RetryLimits
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.model.TargetId
import io.primroseflow.routing.RouteId
import io.primroseflow.routing.ServiceId
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.async
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest

private const val TERM = 3L

private val start = Instant.fromEpochSeconds(1_000)

private val scheduler = HostId("10.0.0.1")

private val target = FleetTarget(
    TargetId("x"),
    ServiceId("other"),
    "127.0.0.1:1",
    DataCentreId("d"),
    slots = 1,
    isLeaving = false
)

/** A process of an entry host that is attached to the shared scheduler; [sent] are its messages. */
private class EntryProcess(seed: Int) : SchedulerLinkListener {
    val sent = ArrayList<PeerMessage>()
    private val clock = object : Clock {
        override fun now() = start
    }
    private val log = EventLog("test", "test")
    val slots = SlotClient(
        self = HostId("10.0.0.9"),
        quotaWindow = 8.seconds,
        retryLimits = RetryLimits(allowance = 100),
        clock = clock,
        log = log,
        rates = HostRates(),
        random = Random(seed),
        conditions = { emptyMap() }
    )
    private val link = SchedulerLink(
        dataCentre = DataCentreId("d"),
        seeds = { listOf(scheduler) },
        policy = RoutedPolicyInForce({ Err(emptyList()) }, log) {},
        lease = PolicyLease(5.seconds, clock, clock),
        clock = clock,
        log = log,
        send = { _, message -> sent += message },
        listener = this,
        random = Random(seed + 1)
    )

    init {
        slots.link = link
        link.tick()
        val report = sent.filterIsInstance<PeerMessage.HostReport>().last()
        val reply = PeerMessage.ReportReply(
            report.number,
            TERM,
            PolicyRevision.NONE,
            listOf(scheduler),
            FleetShare(1)
        )
        link.onReply(scheduler, reply)
    }

    override fun requests(term: Long) = slots.reportedRequests(term)

    override fun fleetVersion() = 0L

    override fun onAttached() = slots.onAttached()

    override fun onDetached() = Unit

    fun wishes() = sent.filterIsInstance<PeerMessage.Wish>()

    fun request() = SlotRequest(
        ticket = slots.nextTicket(),
        service = ServiceId("s"),
        route = RouteId("r"),
        team = null,
        dataCentre = DataCentreId("d"),
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
        arrivedAt = start,
        goal = start + 1.seconds,
        startBy = start + 5.seconds,
        deadline = start + 5.seconds
    )
}

class SlotClientTest :
    DescribeSpec({
        describe("a grant of the shared scheduler") {
            // ROUTE: a slot that was granted to a request of the host's former process is used for
            // a request of the next one, which may be for another service.
            it("to a former process of the host is returned, and the request goes on waiting") {
                runTest {
                    val former = EntryProcess(seed = 10)
                    val lost = async { former.slots.acquire(former.request()) }
                    val next = EntryProcess(seed = 20)
                    val waiting = async { next.slots.acquire(next.request()) }
                    runCurrent()
                    val old = former.wishes().single().request.ticket
                    next.slots.onGranted(PeerMessage.SlotGranted(TERM, old, target))
                    runCurrent()
                    waiting.isCompleted shouldBe false
                    next.sent.filterIsInstance<PeerMessage.Withdrawal>() shouldHaveSize 1
                    val own = next.wishes().single().request.ticket
                    next.slots.onGranted(PeerMessage.SlotGranted(TERM, own, target))
                    waiting.await().shouldBeInstanceOf<SlotDecision.Grant>()
                    lost.cancel()
                }
            }
        }
    })
