package io.primroseflow.policy

import io.primroseflow.model.PoolId

private const val FULL_SHARE = 100

/** Reports what is wrong between the parts of [policy]; [root] locates the values. */
internal fun checkReferences(policy: Policy, root: SectionReader, problems: PolicyProblems) {
    val check = ReferenceCheck(policy, root, problems)
    check.checkPresent()
    check.checkRanks()
    check.checkShares()
    check.checkCallers()
    check.checkTargets()
    check.checkKinds()
    check.checkRoutes()
    check.checkFallbacks()
}

private class ReferenceCheck(
    private val policy: Policy,
    private val root: SectionReader,
    private val problems: PolicyProblems
) {
    fun checkPresent() {
        if (policy.dataCentres.isEmpty()) reportEmpty("data_centres")
        if (policy.tiers.isEmpty()) reportEmpty("tiers")
        if (policy.teams.isEmpty()) reportEmpty("teams")
        if (policy.pools.isEmpty()) reportEmpty("pools")
        if (policy.kinds.isEmpty()) reportEmpty("kinds")
    }

    fun checkRanks() {
        val byRank = policy.tiers.values.groupBy { it.rank }.filterValues { it.size > 1 }
        for ((rank, tiers) in byRank) {
            val names = tiers.joinToString { it.id.value }
            report(
                "tiers.${tiers.last().id}.rank",
                "$rank is shared by $names",
                "use each rank once"
            )
        }
    }

    fun checkShares() {
        val sum = policy.teams.values.sumOf { it.share }
        if (policy.teams.isEmpty() || sum == FULL_SHARE) return
        report("teams", "have shares that add up to $sum", "make them add up to $FULL_SHARE")
    }

    fun checkCallers() {
        val owners = policy.teams.values.flatMap { team -> team.callers.map { it to team.id } }
        val shared = owners.groupBy({ it.first }, { it.second }).filterValues { it.size > 1 }
        for ((caller, teams) in shared) {
            val message = "has the caller $caller of team ${teams.first()} too"
            report("teams.${teams.last()}.callers", message, "put a caller into one team only")
        }
    }

    fun checkTargets() {
        val targets = policy.pools.values.flatMap { pool -> pool.targets.values.map { pool to it } }
        for ((pool, target) in targets) {
            val path = "pools.${pool.id}.targets.${target.id}"
            if (target.dataCentre !in policy.dataCentres) {
                val message = "is the unknown data centre '${target.dataCentre}'"
                report("$path.data_centre", message, "add it to data_centres or correct it")
            }
        }
        for (pool in policy.pools.values.filter { it.targets.isEmpty() }) {
            report("pools.${pool.id}.targets", "has no target", "add one or remove the pool")
        }
        reportSharedNames(targets)
        reportSharedUrls(targets)
    }

    private fun reportSharedNames(targets: List<Pair<Pool, Target>>) {
        for ((id, uses) in targets.groupBy { it.second.id }.filterValues { it.size > 1 }) {
            val path = "pools.${uses.last().first.id}.targets.$id"
            report(path, "is a duplicate name of pool ${uses.first().first.id}", "rename one")
        }
    }

    private fun reportSharedUrls(targets: List<Pair<Pool, Target>>) {
        for ((url, uses) in targets.groupBy { it.second.url }.filterValues { it.size > 1 }) {
            if (url.isEmpty()) continue
            val path = "pools.${uses.last().first.id}.targets.${uses.last().second.id}.url"
            report(path, "is the url of ${uses.first().second.id} too", "give each its own url")
        }
    }

    fun checkKinds() {
        for (kind in policy.kinds.values) {
            val path = "kinds.${kind.id}"
            if (kind.tier !in policy.tiers) {
                report("$path.tier", "is the unknown tier '${kind.tier}'", "name one of tiers")
            }
            val pool = policy.pools[kind.pool]
            if (pool == null) {
                report("$path.pool", "is the unknown pool '${kind.pool}'", "name one of pools")
                continue
            }
            checkProtocol(kind, pool, path)
        }
    }

    private fun checkProtocol(kind: Kind, pool: Pool, path: String) {
        val isEngine = pool.protocol == TargetProtocol.Engine
        when {
            isEngine && kind.model == null ->
                report("$path.model", "is missing", "add the model that engines know")

            isEngine && kind.route != null ->
                report("$path.path", "does not fit a pool of engines", "remove it")

            !isEngine && kind.route == null ->
                report("$path.path", "is missing", "add the path of the plain service")

            !isEngine && kind.model != null ->
                report("$path.model", "does not fit a pool of services", "remove it")
        }
    }

    fun checkRoutes() {
        val kinds = policy.kinds.values.filter { it.route != null }
        for ((path, uses) in kinds.groupBy { it.route?.path }.filterValues { it.size > 1 }) {
            val message = "'$path' is the path of ${uses.first().id} too"
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
                    report(path, "is the unknown pool '$fallback'", "name one of pools")

                next.protocol != pool.protocol ->
                    report(path, "has another protocol", "name a pool of the same protocol")

                isCyclic(pool.id) ->
                    report(path, "is part of a cycle", "end the chain of fallbacks")
            }
        }
    }

    private fun isCyclic(start: PoolId): Boolean {
        val seen = HashSet<PoolId>()
        var pool: PoolId? = start
        while (pool != null && seen.add(pool)) pool = policy.pools[pool]?.fallback
        return pool == start
    }

    private fun reportEmpty(name: String) {
        root.report(name, "is empty or missing", "add at least one")
    }

    private fun report(path: String, message: String, remedy: String) {
        problems.add(root.originAt(path), path, message, remedy)
    }
}
