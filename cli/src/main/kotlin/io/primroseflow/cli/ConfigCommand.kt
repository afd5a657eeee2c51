package io.primroseflow.cli

import io.primroseflow.policy.PolicyChange
import io.primroseflow.policy.diffPolicies
import io.primroseflow.policy.render
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required

/** Validates, shows and changes the policy. */
@OptIn(ExperimentalCli::class)
internal class ConfigCommand : Subcommand("config", "Validate, show and change the policy") {
    init {
        subcommands(
            CheckCommand(),
            RenderCommand(),
            DiffCommand(),
            ApplyCommand(),
            RollbackCommand(),
            HistoryCommand(),
            RevisionsCommand()
        )
    }

    override fun execute() = Unit
}

@OptIn(ExperimentalCli::class)
private class CheckCommand : Subcommand("check", "Validate the policy of one site") {
    private val base by option(ArgType.String, description = "Base file").required()
    private val overlay by option(ArgType.String, description = "Overlay file of the site")

    override fun execute() {
        val policy = readPolicyFiles(base, overlay).policy
        val targets = policy.pools.values.sumOf { it.targets.size }
        println(
            "${policy.site}: ok, ${policy.tiers.size} tiers, ${policy.teams.size} teams, " +
                "${policy.kinds.size} kinds, ${policy.pools.size} pools, $targets targets"
        )
    }
}

@OptIn(ExperimentalCli::class)
private class RenderCommand :
    Subcommand("render", "Show the merged policy with the origin of each value") {
    private val base by option(ArgType.String, description = "Base file").required()
    private val overlay by option(ArgType.String, description = "Overlay file of the site")

    override fun execute() = print(readPolicyFiles(base, overlay).document.render())
}

@OptIn(ExperimentalCli::class)
private class DiffCommand : Subcommand("diff", "Show the differences between two policies") {
    private val base by option(ArgType.String, description = "Old base file").required()
    private val overlay by option(ArgType.String, description = "Old overlay file")
    private val newBase by option(
        ArgType.String,
        fullName = "new-base",
        description = "New base file; defaults to the old one"
    )
    private val newOverlay by option(
        ArgType.String,
        fullName = "new-overlay",
        description = "New overlay file; defaults to the old one"
    )

    override fun execute() {
        val before = readPolicyFiles(base, overlay).document
        val after = readPolicyFiles(newBase ?: base, newOverlay ?: overlay).document
        val changes = diffPolicies(before, after)
        changes.forEach { println(describe(it)) }
        if (changes.isEmpty()) println("no difference")
    }

    private fun describe(change: PolicyChange): String {
        val old = change.before
        val new = change.after
        return when {
            old == null -> "+ ${change.path}: ${new?.value}  # ${new?.origin}"
            new == null -> "- ${change.path}: ${old.value}  # ${old.origin}"
            else -> "~ ${change.path}: ${old.value} -> ${new.value}  # ${new.origin}"
        }
    }
}
