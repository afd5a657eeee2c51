package io.primroseflow.policy

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.model.CallerId
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.KindId
import io.primroseflow.model.PoolId
import io.primroseflow.model.TargetId
import io.primroseflow.model.TeamId
import io.primroseflow.model.TierId
import io.primroseflow.model.Tokens
import java.net.URI
import java.net.URISyntaxException
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** The supported version of the policy format; each policy states it as `format`. */
public const val POLICY_FORMAT_VERSION: Int = 1

/** A validated [policy] and the merged [document] from which it was read. */
public data class CheckedPolicy(val policy: Policy, val document: PolicyNode.Mapping)

/**
 * Reads and validates the policy of one site.
 *
 * Problems in the values do not end the reading, so that all of them are found at once.
 *
 * @param base policy shared by all sites
 * @param overlay values of the site, merged into [base]
 * @return the policy, or the problems of both files
 */
public fun readPolicy(
    base: PolicyText,
    overlay: PolicyText? = null
): Result<CheckedPolicy, List<PolicyProblem>> {
    val problems = PolicyProblems()
    val baseDocument = readDocument(base, problems)
    val overlayDocument = overlay?.let { readDocument(it, problems) }
    val merged =
        if (overlayDocument == null) baseDocument else baseDocument.mergedWith(overlayDocument)
    // Reading on would only report every required key of the unreadable document as missing.
    if (!problems.isEmpty() && merged.entries.isEmpty()) return Err(problems.toList())
    val root = SectionReader(merged, path = "", problems)
    val policy = readRoot(root)
    root.reportUnknownKeys()
    checkConsistency(policy, root, problems)
    return if (problems.isEmpty()) Ok(CheckedPolicy(policy, merged)) else Err(problems.toList())
}

private fun readRoot(root: SectionReader): Policy {
    root.int("format", POLICY_FORMAT_VERSION..POLICY_FORMAT_VERSION)
    return Policy(
        site = root.name("site"),
        dataCentres = root.names("data_centres").map(::DataCentreId).toPersistentList(),
        tiers = root.entries("tiers", ::readTier).associateBy { it.id }.toPersistentMap(),
        teams = root.entries("teams", ::readTeam).associateBy { it.id }.toPersistentMap(),
        pools = root.entries("pools", ::readPool).associateBy { it.id }.toPersistentMap(),
        kinds = root.entries("kinds", ::readKind).associateBy { it.id }.toPersistentMap(),
        limits = root.section("limits", ::readLimits),
        timeouts = root.section("timeouts", ::readTimeouts),
        ledger = root.section("ledger", ::readLedger)
    )
}

private fun readTier(name: String, section: SectionReader) = Tier(
    id = TierId(name),
    rank = section.int("rank", 1..16),
    worth = section.number("worth", 0.001..1_000_000.0),
    deadline = section.duration("deadline", 10.milliseconds..1.hours)
)

private fun readTeam(name: String, section: SectionReader) = Team(
    id = TeamId(name),
    share = section.int("share", 1..100),
    callers = section.names("callers").map(::CallerId).toPersistentList()
)

private fun readPool(name: String, section: SectionReader): Pool {
    val protocol = section.choice("protocol", TargetProtocol.entries.associateBy { it.key })
    return Pool(
        id = PoolId(name),
        protocol = protocol,
        queueLimit = section.int("queue_limit", 1..1_000_000, default = 1_000),
        fallback = section.nameOrNull("fallback")?.let(::PoolId),
        targets = section.entries("targets") { id, target -> readTarget(id, target, protocol) }
            .associateBy { it.id }.toPersistentMap()
    )
}

private fun readTarget(name: String, section: SectionReader, protocol: TargetProtocol): Target {
    val isEngine = protocol == TargetProtocol.Engine
    val kvTokens = when {
        isEngine -> Tokens(section.int("kv_tokens", 1_000..100_000_000).toLong())
        else -> null
    }
    return Target(
        id = TargetId(name),
        url = readUrl(section),
        dataCentre = DataCentreId(section.name("data_centre")),
        slots = section.int("slots", 1..100_000),
        kvTokens = kvTokens,
        fencing = section.choice(
            "fencing",
            Fencing.entries.associateBy { it.key },
            default = Fencing.Ignored
        )
    )
}

private fun readUrl(section: SectionReader): String {
    val text = section.text("url")
    if (text.isEmpty()) return text
    val url = try {
        URI(text)
    } catch (_: URISyntaxException) {
        null
    }
    val isBaseUrl = url != null &&
        (url.scheme == "http" || url.scheme == "https") &&
        url.host != null &&
        url.path.isNullOrEmpty() &&
        url.query == null &&
        url.userInfo == null
    if (!isBaseUrl) {
        section.report(
            "url",
            "is '$text'",
            "write scheme, host and port, such as http://10.0.0.1:80"
        )
    }
    return text
}

private fun readKind(name: String, section: SectionReader): Kind {
    val maxOutput = section.int("max_output_tokens", 1..1_000_000, default = 4_096)
    val expected = section.int("expected_output_tokens", 1..1_000_000, default = 256)
    if (expected > maxOutput) {
        section.report(
            "expected_output_tokens",
            "is above max_output_tokens",
            "lower it or raise max_output_tokens"
        )
    }
    return Kind(
        id = KindId(name),
        pool = PoolId(section.name("pool")),
        tier = TierId(section.name("tier")),
        model = section.textOrNull("model"),
        route = section.textOrNull("path")?.let { readRoute(it, section) },
        expectedOutput = Tokens(expected.toLong()),
        maxOutput = Tokens(maxOutput.toLong())
    )
}

/** Matches an absolute path without a trailing slash. */
private val routePattern = Regex("(/[A-Za-z0-9._~-]+)+")

/** Matches the name of an HTTP method. */
private val methodPattern = Regex("[A-Z]{3,10}")

private fun readRoute(path: String, section: SectionReader): Route {
    if (!routePattern.matches(path)) {
        section.report("path", "is '$path'", "write an absolute path such as /orders")
    }
    if (path == "/v1" || path.startsWith("/v1/")) {
        section.report("path", "is '$path', but /v1 is reserved for engines", "use another prefix")
    }
    val methods = section.texts("methods", default = listOf("GET", "POST"))
    for (method in methods.filterNot(methodPattern::matches)) {
        section.report("methods", "has '$method'", "write methods as 3 to 10 capital letters")
    }
    return Route(path, methods)
}

private const val KIBIBYTE = 1_024

private const val MEBIBYTE = 1_024 * KIBIBYTE

private fun readLimits(section: SectionReader) = Limits(
    headerBytes = section.bytes("header_bytes", KIBIBYTE..MEBIBYTE, default = 16 * KIBIBYTE),
    bodyBytes = section.bytes("body_bytes", KIBIBYTE..64 * MEBIBYTE, default = MEBIBYTE),
    answerBytes = section.bytes("answer_bytes", KIBIBYTE..64 * MEBIBYTE, default = 4 * MEBIBYTE),
    connections = section.int("connections", 1..1_000_000, default = 4_000),
    inFlight = section.int("in_flight", 1..1_000_000, default = 4_000),
    outcomeCount = section.int("outcome_count", 1..10_000_000, default = 50_000),
    outcomeBytes = section.bytes("outcome_bytes", 0..512 * MEBIBYTE, default = 16 * MEBIBYTE)
)

private fun readTimeouts(section: SectionReader) = Timeouts(
    connect = section.duration("connect", 10.milliseconds..1.minutes, default = 1.seconds),
    progress = section.duration("progress", 100.milliseconds..1.hours, default = 10.seconds),
    callerIdle = section.duration("caller_idle", 100.milliseconds..1.hours, default = 30.seconds),
    callerRead = section.duration("caller_read", 100.milliseconds..1.hours, default = 10.seconds),
    maxDeadline = section.duration("max_deadline", 1.seconds..24.hours, default = 10.minutes),
    outcomeRetention = section.duration(
        "outcome_retention",
        1.seconds..7.days,
        default = 10.minutes
    ),
    drain = section.duration("drain", 1.seconds..1.hours, default = 1.minutes),
    turnAway = section.duration("turn_away", 0.seconds..1.minutes, default = 3.seconds)
)

private fun readLedger(section: SectionReader) = LedgerPolicy(
    retention = section.duration("retention", 1.minutes..365.days, default = 30.days)
)
