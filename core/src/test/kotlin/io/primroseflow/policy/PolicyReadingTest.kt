package io.primroseflow.policy

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.primroseflow.model.PoolId
import io.primroseflow.model.TeamId

private val base = """
    format: 1
    tiers:
      urgent: {rank: 1, worth: 10, deadline: 5s}
    pools:
      language: {protocol: engine}
    kinds:
      question: {pool: language, tier: urgent, model: m}
""".trimIndent()

private val overlay = """
    site: here
    data_centres: [a]
    teams:
      one: {share: 100, callers: [c1]}
    pools:
      language:
        targets:
          e1: {url: "http://10.0.0.1:80", data_centre: a, slots: 4, kv_tokens: 10000}
""".trimIndent()

/** A change of the good policy that makes it wrong, and the problem that is expected. */
private class BadPolicy(
    val name: String,
    val old: String,
    val new: String,
    val path: String,
    val line: Int,
    val inOverlay: Boolean = true
)

private val badPolicies = listOf(
    BadPolicy("unknown key", "site: here", "site: here\ncolour: red", "colour", 2),
    BadPolicy("unknown format", "format: 1", "format: 2", "format", 1, inOverlay = false),
    BadPolicy("missing format", "format: 1\n", "", "format", 1, inOverlay = false),
    BadPolicy("missing data centre", "data_centre: a, ", "", TARGET_DC, 8),
    BadPolicy("malformed name", "site: here", "site: Here!", "site", 1),
    BadPolicy("no data centre", "[a]", "[]", "data_centres", 2),
    BadPolicy("repeated data centre", "[a]", "[a, a]", "data_centres", 2),
    BadPolicy("unknown data centre", "data_centre: a", "data_centre: b", TARGET_DC, 8),
    BadPolicy("share below full", "share: 100", "share: 99", "teams", 4),
    BadPolicy("share that is a text", "share: 100", "share: all", "teams.one.share", 4),
    BadPolicy("missing share", "share: 100, ", "", "teams.one.share", 4),
    BadPolicy("repeated caller", "[c1]", "[c1, c1]", "teams.one.callers", 4),
    BadPolicy("callers that are a text", "[c1]", "c1", "teams.one.callers", 4),
    BadPolicy("duplicate team", "teams:", "teams:\n  one: {}", "teams.one", 5),
    BadPolicy("misspelt key", "slots: 4", "slot: 4", "$TARGET.slot", 8),
    BadPolicy("no slots", "slots: 4", "slots: 0", "$TARGET.slots", 8),
    BadPolicy("url without scheme", "http://10.0.0.1:80", "10.0.0.1:80", "$TARGET.url", 8),
    BadPolicy("url with a path", "10.0.0.1:80", "10.0.0.1:80/x", "$TARGET.url", 8),
    BadPolicy("missing cache size", ", kv_tokens: 10000", "", "$TARGET.kv_tokens", 8),
    BadPolicy(
        "target that is a list",
        "e1: {",
        "e2: []\n      e1: {",
        "pools.language.targets.e2",
        8
    ),
    BadPolicy("unknown fencing", "slots: 4", "slots: 4, fencing: no", "$TARGET.fencing", 8),
    BadPolicy("no rank", "rank: 1, ", "", "tiers.urgent.rank", 3, inOverlay = false),
    BadPolicy("rank out of range", "rank: 1", "rank: 0", "tiers.urgent.rank", 3, inOverlay = false),
    BadPolicy("no worth", "worth: 10", "worth: -1", "tiers.urgent.worth", 3, inOverlay = false),
    BadPolicy("deadline without unit", "5s", "5", "tiers.urgent.deadline", 3, inOverlay = false),
    BadPolicy("deadline too long", "5s", "5d", "tiers.urgent.deadline", 3, inOverlay = false),
    BadPolicy("unknown tier", "tier: urgent", "tier: slow", "kinds.question.tier", 7, false),
    BadPolicy("unknown pool", "pool: language", "pool: none", "kinds.question.pool", 7, false),
    BadPolicy("no model", ", model: m", "", "kinds.question.model", 7, false),
    BadPolicy(
        "path of an engine",
        "model: m",
        "model: m, path: /x",
        "kinds.question.path",
        7,
        false
    ),
    BadPolicy(
        "reserved path",
        "model: m",
        "model: m, path: /v1/x",
        "kinds.question.path",
        7,
        inOverlay = false
    ),
    BadPolicy("unknown protocol", "engine", "ftp", "pools.language.protocol", 5, false),
    BadPolicy(
        "fallback on itself",
        "protocol: engine",
        "protocol: engine, fallback: language",
        "pools.language.fallback",
        5,
        inOverlay = false
    ),
    BadPolicy(
        "unknown fallback",
        "protocol: engine",
        "protocol: engine, fallback: none",
        "pools.language.fallback",
        5,
        inOverlay = false
    ),
    BadPolicy("size without unit", "site: here", LIMITS_WITHOUT_UNIT, "limits.body_bytes", 1),
    BadPolicy("broken syntax", "site: here", "site: [here", "(document)", 2),
    BadPolicy("document that is a list", overlay, "- a", "(document)", 1),
    BadPolicy("alias to itself", "site: here", "site: here\nx: &x [*x]", "x", 2)
)

private const val TARGET = "pools.language.targets.e1"

private const val TARGET_DC = "$TARGET.data_centre"

private const val LIMITS_WITHOUT_UNIT = "limits: {body_bytes: 5000}\nsite: here"

private fun problemsOf(bad: BadPolicy): List<PolicyProblem> {
    val changedBase = if (bad.inOverlay) base else base.replaceFirst(bad.old, bad.new)
    val changedOverlay = if (bad.inOverlay) overlay.replaceFirst(bad.old, bad.new) else overlay
    val result = readPolicy(
        PolicyText("base.yaml", changedBase),
        PolicyText("overlay.yaml", changedOverlay)
    )
    return result.getError().orEmpty()
}

class PolicyReadingTest :
    DescribeSpec({
        val good = readPolicy(PolicyText("base.yaml", base), PolicyText("overlay.yaml", overlay))
            .getOrElse { error(it.joinToString("\n")) }

        describe("a good policy") {
            it("merges the base and the overlay") {
                good.policy.site shouldBe "here"
                good.policy.pools.getValue(PoolId("language")).targets.size shouldBe 1
                good.policy.teams.getValue(TeamId("one")).share shouldBe 100
            }

            it("knows the origin of each value") {
                val origins = good.document.values().associate { it.path to it.origin.file }
                origins["tiers.urgent.rank"] shouldBe "base.yaml"
                origins["$TARGET.slots"] shouldBe "overlay.yaml"
            }

            it("renders to a policy with the same values") {
                val text = PolicyText("rendered.yaml", good.document.render())
                val again = readPolicy(text).getOrElse { error(it.joinToString("\n")) }
                again.policy shouldBe good.policy
                again.document.fingerprint() shouldBe good.document.fingerprint()
            }

            it("loses a key that the overlay sets to null") {
                val withLimit = PolicyText("base.yaml", "$base\nlimits: {connections: 7}")
                val without = PolicyText("overlay.yaml", "$overlay\nlimits: {connections: ~}")
                val policy = readPolicy(withLimit, without).getOrElse { error("$it") }.policy
                policy.limits.connections shouldBe 4_000
            }
        }

        describe("a wrong policy") {
            for (bad in badPolicies) {
                it("is refused with place and remedy: ${bad.name}") {
                    val found = problemsOf(bad)
                    val file = if (bad.inOverlay) "overlay.yaml" else "base.yaml"
                    val match = found.firstOrNull {
                        it.path == bad.path && it.origin.line == bad.line && it.origin.file == file
                    }
                    if (match == null) error("expected $file:${bad.line} ${bad.path}, found $found")
                    match.remedy.isBlank() shouldBe false
                }
            }

            it("is refused with all its problems at once") {
                val wrongBase = PolicyText("base.yaml", base.replace("rank: 1", "rank: x"))
                val wrongOverlay =
                    PolicyText("overlay.yaml", overlay.replace("slots: 4", "slots: y"))
                val paths = readPolicy(wrongBase, wrongOverlay).getError().orEmpty().map { it.path }
                paths shouldContainExactly listOf("tiers.urgent.rank", "$TARGET.slots")
            }
        }

        describe("the difference of two policies") {
            it("is empty for equal ones") {
                diffPolicies(good.document, good.document).shouldBeEmpty()
            }

            it("names each changed value with its origin") {
                val changed = PolicyText("overlay.yaml", overlay.replace("slots: 4", "slots: 8"))
                val after = readPolicy(PolicyText("base.yaml", base), changed)
                    .getOrElse { error("$it") }
                val change = diffPolicies(good.document, after.document).single()
                change.path shouldBe "$TARGET.slots"
                change.before?.value shouldBe "4"
                change.after?.value shouldBe "8"
            }
        }
    })
