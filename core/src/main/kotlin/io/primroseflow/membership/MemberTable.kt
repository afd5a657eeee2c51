package io.primroseflow.membership

import io.primroseflow.control.PolicyRevision
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import io.primroseflow.status.HostPhase
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What one host says of itself, spread from host to host.
 *
 * @property heartbeat grows with every heartbeat, also over restarts of the process
 * @property policy revision of the policy in force at the host
 */
@Serializable
public data class MemberNews(
    @SerialName("h") val host: HostId,
    @SerialName("d") val dataCentre: DataCentreId,
    @SerialName("n") val heartbeat: Long,
    @SerialName("p") val phase: HostPhase,
    @SerialName("r") val policy: PolicyRevision
)

/** A host as this host sees it. */
public data class Member(val news: MemberNews, val heardAt: Instant)

/** Time without a new heartbeat after which a host counts as dead. */
private val DEAD_AFTER: Duration = 6.seconds

/** Time after which a dead host is forgotten. */
private val FORGET_AFTER: Duration = 600.seconds

/**
 * The hosts that this host knows of, by epidemic spreading of heartbeats.
 *
 * Not safe for use by several tasks.
 *
 * Source: R. van Renesse et al., "A Gossip-Style Failure Detection Service", Middleware 1998.
 */
public class MemberTable(self: MemberNews, now: Instant) {
    private val members = HashMap<HostId, Member>()

    /** What this host says of itself. */
    public var self: MemberNews = self
        private set

    init {
        members[self.host] = Member(self, now)
    }

    /** Makes the next heartbeat of this host. */
    public fun beat(phase: HostPhase, policy: PolicyRevision, now: Instant) {
        self = self.copy(heartbeat = self.heartbeat + 1, phase = phase, policy = policy)
        members[self.host] = Member(self, now)
        members.values.removeIf { now - it.heardAt > FORGET_AFTER }
    }

    /** Takes over what is new in [news]. */
    public fun merge(news: List<MemberNews>, now: Instant) {
        for (item in news) {
            if (item.host == self.host) continue
            val known = members[item.host]
            if (known != null && known.news.heartbeat >= item.heartbeat) continue
            members[item.host] = Member(item, now)
        }
    }

    /** Returns the news of this host and the latest ones of up to [limit] others. */
    public fun latest(limit: Int): List<MemberNews> {
        val others = members.values.filter { it.news.host != self.host }
            .sortedByDescending { it.heardAt }
            .take(limit)
        return listOf(self) + others.map { it.news }
    }

    /** Returns all known hosts, this one included. */
    public fun all(): List<Member> = members.values.toList()

    /** Returns whether [member] counts as alive. */
    public fun isAlive(member: Member, now: Instant): Boolean = now - member.heardAt <= DEAD_AFTER

    /** Returns up to [count] hosts of [candidates] to spread news to, chosen by [random]. */
    public fun chooseReceivers(candidates: List<HostId>, count: Int, random: Random): List<HostId> =
        candidates.filter { it != self.host }.shuffled(random).take(count)
}
