package io.primroseflow.policy

import io.primroseflow.model.PoolId

private const val TOTAL_SHARE_PERCENT = 100

/**
 * Checks the rules that involve several values of [policy], and reports each violation to
 * [problems].
 *
 * @param root reader of the whole document, which gives the origins of the values
 */
internal fun checkConsistency(policy: Policy, root: SectionReader, problems: PolicyProblems) {
    val check = ConsistencyCheck(policy, root, problems)
    check.checkRequiredSections()
    check.checkRanks()
    check.checkShares()
    check.checkCallers()
    check.checkTargets()
    check.checkKinds()
    check.checkRoutes()
    check.checkFallbacks()
}

private class ConsistencyCheck(
    private val policy: Policy,
    private val root: SectionReader,
    private val problems: PolicyProblems
) {
    fun checkRequiredSections() {
        if (policy.dataCentres.isEmpty()) reportEmpty("data_centres")
        if (policy.tiers.isEmpty()) reportEmpty("tiers")
        if (policy.teams.isEmpty()) reportEmpty("teams")
        if (policy.pools.isEmpty()) reportEmpty("pools")
        if (policy.kinds.isEmpty()) reportEmpty("kinds")
    }

    fun checkRanks() {
        val duplicates = policy.tiers.values.groupBy { it.rank }.filterValues { it.size > 1 }
        for ((rank, tiers) in duplicates) {
            val names = tiers.joinToString { it.id.value }
            report(
                "tiers.${tiers.last().id}.rank",
                "is $rank, the rank of several tiers: $names",
                "give each tier its own rank"
            )
        }
    }

    fun checkShares() {
        val sum = policy.teams.values.sumOf { it.share }
        if (policy.teams.isEmpty() || sum == TOTAL_SHARE_PERCENT) return
        report(
            "teams",
            "have shares that add up to $sum percent",
            "make them add up to $TOTAL_SHARE_PERCENT percent"
        )
    }

    fun checkCallers() {
        val memberships = policy.teams.values.flatMap { team ->
            team.callers.map { it to team.id }
        }
        val duplicates = memberships.groupBy({ it.first }, { it.second })
            .filterValues { it.size > 1 }
        for ((caller, teams) in duplicates) {
            val message = "has the caller '$caller', which is also in team '${teams.first()}'"
            report("teams.${teams.last()}.callers", message, "list each caller in one team only")
        }
    }

    fun checkTargets() {
        val targets = policy.pools.values.flatMap { pool -> pool.targets.values.map { pool to it } }
        for ((pool, target) in targets) {
            val path = "pools.${pool.id}.targets.${target.id}"
            if (target.dataCentre !in policy.dataCentres) {
                val message = "refers to the unknown data centre '${target.dataCentre}'"
                report("$path.data_centre", message, "add it to data_centres or correct the name")
            }
        }
        for (pool in policy.pools.values.filter { it.targets.isEmpty() }) {
            report(
                "pools.${pool.id}.targets",
                "is empty or missing",
                "add a target or remove the pool"
            )
        }
        checkTargetNames(targets)
        checkTargetUrls(targets)
    }

    private fun checkTargetNames(targets: List<Pair<Pool, Target>>) {
        for ((id, uses) in targets.groupBy { it.second.id }.filterValues { it.size > 1 }) {
            val path = "pools.${uses.last().first.id}.targets.$id"
            report(
                path,
                "has the name of a target of pool '${uses.first().first.id}'",
                "rename one of them"
            )
        }
    }

    private fun checkTargetUrls(targets: List<Pair<Pool, Target>>) {
        for ((url, uses) in targets.groupBy { it.second.url }.filterValues { it.size > 1 }) {
            if (url.isEmpty()) continue
            val path = "pools.${uses.last().first.id}.targets.${uses.last().second.id}.url"
            report(
                path,
                "is also the URL of target '${uses.first().second.id}'",
                "give each target its own URL"
            )
        }
    }

    fun checkKinds() {
        for (kind in policy.kinds.values) {
            val path = "kinds.${kind.id}"
            if (kind.tier !in policy.tiers) {
                report(
                    "$path.tier",
                    "refers to the unknown tier '${kind.tier}'",
                    "name one of the tiers"
                )
            }
            val pool = policy.pools[kind.pool]
            if (pool == null) {
                report(
                    "$path.pool",
                    "refers to the unknown pool '${kind.pool}'",
                    "name one of the pools"
                )
                continue
            }
            checkProtocol(kind, pool, path)
        }
    }

    private fun checkProtocol(kind: Kind, pool: Pool, path: String) {
        val isEngine = pool.protocol == TargetProtocol.Engine
        when {
            isEngine && kind.model == null ->
                report("$path.model", "is missing", "add the model name to send to the engines")

            isEngine && kind.route != null ->
                report("$path.path", "is not allowed with an engine pool", "remove it")

            !isEngine && kind.route == null ->
                report("$path.path", "is missing", "add the path that callers request")

            !isEngine && kind.model != null ->
                report("$path.model", "is not allowed with a service pool", "remove it")
        }
    }

    fun checkRoutes() {
        val kinds = policy.kinds.values.filter { it.route != null }
        for ((path, uses) in kinds.groupBy { it.route?.path }.filterValues { it.size > 1 }) {
            val message = "is '$path', which is also the path of kind '${uses.first().id}'"
            report("kinds.${uses.last().id}.path", message, "give each kind its own path")
        }
    }

    fun checkFallbacks() {
        for (pool in policy.pools.values) {
            val fallback = pool.fallback ?: continue
            val path = "pools.${pool.id}.fallback"
            val next = policy.pools[fallback]
            when {
                next == null ->
                    report(path, "refers to the unknown pool '$fallback'", "name one of the pools")

                next.protocol != pool.protocol ->
                    report(path, "has another protocol", "name a pool with the same protocol")

                isInFallbackCycle(pool.id) ->
                    report(path, "is part of a cycle of fallbacks", "remove one of them")
            }
        }
    }

    private fun isInFallbackCycle(start: PoolId): Boolean {
        val seen = HashSet<PoolId>()
        var pool: PoolId? = start
        while (pool != null && seen.add(pool)) pool = policy.pools[pool]?.fallback
        return pool == start
    }

    private fun reportEmpty(name: String) {
        root.report(name, "is empty or missing", "add at least one entry")
    }

    private fun report(path: String, message: String, remedy: String) {
        problems.add(root.originAt(path), path, message, remedy)
    }
}
