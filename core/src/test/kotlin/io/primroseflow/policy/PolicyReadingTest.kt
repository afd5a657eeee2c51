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

/**
 * A change that makes the valid policy invalid, and the place of the problem that is expected.
 *
 * @property old text of the valid policy, replaced by [new]
 * @property path expected path of the problem
 * @property line expected line of the problem
 * @property inOverlay whether the change and the problem are in the overlay instead of the base
 */
private class InvalidPolicy(
    val name: String,
    val old: String,
    val new: String,
    val path: String,
    val line: Int,
    val inOverlay: Boolean = true
)

private val invalidPolicies = listOf(
    InvalidPolicy("unknown key", "site: here", "site: here\ncolour: red", "colour", 2),
    InvalidPolicy("unknown format", "format: 1", "format: 2", "format", 1, inOverlay = false),
    InvalidPolicy("missing format", "format: 1\n", "", "format", 1, inOverlay = false),
    InvalidPolicy("missing data centre", "data_centre: a, ", "", TARGET_DATA_CENTRE, 8),
    InvalidPolicy("malformed name", "site: here", "site: Here!", "site", 1),
    InvalidPolicy("empty list of data centres", "[a]", "[]", "data_centres", 2),
    InvalidPolicy("duplicate data centre", "[a]", "[a, a]", "data_centres", 2),
    InvalidPolicy("unknown data centre", "data_centre: a", "data_centre: b", TARGET_DATA_CENTRE, 8),
    InvalidPolicy("sum of shares below 100", "share: 100", "share: 99", "teams", 4),
    InvalidPolicy("share that is not a number", "share: 100", "share: all", "teams.one.share", 4),
    InvalidPolicy("missing share", "share: 100, ", "", "teams.one.share", 4),
    InvalidPolicy("duplicate caller", "[c1]", "[c1, c1]", "teams.one.callers", 4),
    InvalidPolicy("callers that are not a list", "[c1]", "c1", "teams.one.callers", 4),
    InvalidPolicy("duplicate team", "teams:", "teams:\n  one: {}", "teams.one", 5),
    InvalidPolicy("misspelt key", "slots: 4", "slot: 4", "$TARGET.slot", 8),
    InvalidPolicy("slots out of range", "slots: 4", "slots: 0", "$TARGET.slots", 8),
    InvalidPolicy("url without scheme", "http://10.0.0.1:80", "10.0.0.1:80", "$TARGET.url", 8),
    InvalidPolicy("url with a path", "10.0.0.1:80", "10.0.0.1:80/x", "$TARGET.url", 8),
    InvalidPolicy("missing KV cache capacity", ", kv_tokens: 10000", "", "$TARGET.kv_tokens", 8),
    InvalidPolicy(
        "target that is a list",
        "e1: {",
        "e2: []\n      e1: {",
        "pools.language.targets.e2",
        8
    ),
    InvalidPolicy("unknown fencing", "slots: 4", "slots: 4, fencing: no", "$TARGET.fencing", 8),
    InvalidPolicy("missing rank", "rank: 1, ", "", "tiers.urgent.rank", 3, inOverlay = false),
    InvalidPolicy(
        "rank out of range",
        "rank: 1",
        "rank: 0",
        "tiers.urgent.rank",
        3,
        inOverlay = false
    ),
    InvalidPolicy(
        "worth out of range",
        "worth: 10",
        "worth: -1",
        "tiers.urgent.worth",
        3,
        inOverlay = false
    ),
    InvalidPolicy(
        "deadline without unit",
        "5s",
        "5",
        "tiers.urgent.deadline",
        3,
        inOverlay = false
    ),
    InvalidPolicy("deadline too long", "5s", "5d", "tiers.urgent.deadline", 3, inOverlay = false),
    InvalidPolicy("unknown tier", "tier: urgent", "tier: slow", "kinds.question.tier", 7, false),
    InvalidPolicy("unknown pool", "pool: language", "pool: none", "kinds.question.pool", 7, false),
    InvalidPolicy("missing model", ", model: m", "", "kinds.question.model", 7, false),
    InvalidPolicy(
        "path of an engine kind",
        "model: m",
        "model: m, path: /x",
        "kinds.question.path",
        7,
        false
    ),
    InvalidPolicy(
        "reserved path",
        "model: m",
        "model: m, path: /v1/x",
        "kinds.question.path",
        7,
        inOverlay = false
    ),
    InvalidPolicy("unknown protocol", "engine", "ftp", "pools.language.protocol", 5, false),
    InvalidPolicy(
        "fallback to itself",
        "protocol: engine",
        "protocol: engine, fallback: language",
        "pools.language.fallback",
        5,
        inOverlay = false
    ),
    InvalidPolicy(
        "unknown fallback",
        "protocol: engine",
        "protocol: engine, fallback: none",
        "pools.language.fallback",
        5,
        inOverlay = false
    ),
    InvalidPolicy("size without unit", "site: here", LIMITS_WITHOUT_UNIT, "limits.body_bytes", 1),
    InvalidPolicy("broken syntax", "site: here", "site: [here", "(document)", 2),
    InvalidPolicy("document that is a list", overlay, "- a", "(document)", 1),
    InvalidPolicy("alias to itself", "site: here", "site: here\nx: &x [*x]", "x", 2)
)

private const val TARGET = "pools.language.targets.e1"

private const val TARGET_DATA_CENTRE = "$TARGET.data_centre"

private const val LIMITS_WITHOUT_UNIT = "limits: {body_bytes: 5000}\nsite: here"

private fun problemsOf(case: InvalidPolicy): List<PolicyProblem> {
    val changedBase = if (case.inOverlay) base else base.replaceFirst(case.old, case.new)
    val changedOverlay = if (case.inOverlay) overlay.replaceFirst(case.old, case.new) else overlay
    val result = readPolicy(
        PolicyText("base.yaml", changedBase),
        PolicyText("overlay.yaml", changedOverlay)
    )
    return result.getError().orEmpty()
}

class PolicyReadingTest :
    DescribeSpec({
        val valid = readPolicy(PolicyText("base.yaml", base), PolicyText("overlay.yaml", overlay))
            .getOrElse { error(it.joinToString("\n")) }

        describe("a valid policy") {
            it("merges the base and the overlay") {
                valid.policy.site shouldBe "here"
                valid.policy.pools.getValue(PoolId("language")).targets.size shouldBe 1
                valid.policy.teams.getValue(TeamId("one")).share shouldBe 100
            }

            it("has the file that each value comes from") {
                val origins = valid.document.values().associate { it.path to it.origin.file }
                origins["tiers.urgent.rank"] shouldBe "base.yaml"
                origins["$TARGET.slots"] shouldBe "overlay.yaml"
            }

            it("renders to a document with the same policy and fingerprint") {
                val text = PolicyText("rendered.yaml", valid.document.render())
                val again = readPolicy(text).getOrElse { error(it.joinToString("\n")) }
                again.policy shouldBe valid.policy
                again.document.fingerprint() shouldBe valid.document.fingerprint()
            }

            it("omits a key that the overlay sets to null") {
                val withLimit = PolicyText("base.yaml", "$base\nlimits: {connections: 7}")
                val without = PolicyText("overlay.yaml", "$overlay\nlimits: {connections: ~}")
                val policy = readPolicy(withLimit, without).getOrElse { error("$it") }.policy
                policy.limits.connections shouldBe 4_000
            }
        }

        describe("an invalid policy") {
            for (case in invalidPolicies) {
                it("is rejected with the place and a remedy: ${case.name}") {
                    val found = problemsOf(case)
                    val file = if (case.inOverlay) "overlay.yaml" else "base.yaml"
                    val match = found.firstOrNull {
                        it.path == case.path &&
                            it.origin.line == case.line &&
                            it.origin.file == file
                    }
                    if (match == null) {
                        error("expected $file:${case.line} ${case.path}, found $found")
                    }
                    match.remedy.isBlank() shouldBe false
                }
            }

            it("is rejected with all its problems at once") {
                val wrongBase = PolicyText("base.yaml", base.replace("rank: 1", "rank: x"))
                val wrongOverlay =
                    PolicyText("overlay.yaml", overlay.replace("slots: 4", "slots: y"))
                val paths = readPolicy(wrongBase, wrongOverlay).getError().orEmpty().map { it.path }
                paths shouldContainExactly listOf("tiers.urgent.rank", "$TARGET.slots")
            }
        }

        describe("the difference between two policies") {
            it("is empty if they are equal") {
                diffPolicies(valid.document, valid.document).shouldBeEmpty()
            }

            it("has each changed value before and after the change") {
                val changed = PolicyText("overlay.yaml", overlay.replace("slots: 4", "slots: 8"))
                val after = readPolicy(PolicyText("base.yaml", base), changed)
                    .getOrElse { error("$it") }
                val change = diffPolicies(valid.document, after.document).single()
                change.path shouldBe "$TARGET.slots"
                change.before?.value shouldBe "4"
                change.after?.value shouldBe "8"
            }
        }
    })
