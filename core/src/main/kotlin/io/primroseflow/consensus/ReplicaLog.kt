package io.primroseflow.consensus

/**
 * The entries of one replica's log after its latest snapshot.
 *
 * @param initial members of a group that has no snapshot and no membership entry yet
 */
internal class ReplicaLog(private val initial: Membership, restored: RestoredState) {
    private val entries = ArrayDeque<LogEntry>()

    /** What is known of the last entry that was dropped, `null` while none was. */
    private var base: SnapshotHead? = restored.snapshot?.head

    init {
        val base = baseIndex
        entries += restored.entries.filter { it.index > base }
        for ((i, entry) in entries.withIndex()) {
            check(entry.index == base + (i + 1)) { "entry $i has index ${entry.index}" }
        }
    }

    /** Index of the last entry that was dropped. */
    val baseIndex: LogIndex get() = base?.index ?: LogIndex.ZERO

    val lastIndex: LogIndex get() = baseIndex + entries.size

    val lastTerm: Term get() = entries.lastOrNull()?.term ?: base?.term ?: Term.ZERO

    /** Returns the term of the entry at [index], or `null` when it is not known here. */
    fun termOrNull(index: LogIndex): Term? = when {
        index == baseIndex -> base?.term ?: Term.ZERO
        else -> entryOrNull(index)?.term
    }

    fun entryOrNull(index: LogIndex): LogEntry? =
        entries.getOrNull((index.position - baseIndex.position - 1).toInt())

    /**
     * Returns up to [limit] entries from [first] on, with commands of up to [maxBytes] in sum; a
     * single entry may be larger.
     */
    fun from(first: LogIndex, limit: Int, maxBytes: Int = Int.MAX_VALUE): List<LogEntry> {
        val start = (first.position - baseIndex.position - 1).toInt()
        if (start < 0 || start >= entries.size) return emptyList()
        val found = entries.subList(start, start + minOf(entries.size - start, limit))
        if (maxBytes == Int.MAX_VALUE) return found.toList()
        var bytes = 0L
        return found.withIndex().takeWhile { (position, entry) ->
            bytes += entry.size
            position == 0 || bytes <= maxBytes
        }.map { it.value }
    }

    /** Drops what stands more than [count] entries or [maxBytes] of commands behind [index]. */
    fun keepBehind(index: LogIndex, count: Int, maxBytes: Int) {
        var dropped = index
        var bytes = 0L
        var kept = 0
        while (dropped > baseIndex && kept < count) {
            bytes += entryOrNull(dropped)?.size ?: 0
            if (bytes > maxBytes) break
            dropped -= 1
            kept++
        }
        if (dropped > baseIndex) dropUpTo(dropped)
    }

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow $lastIndex" }
        entries += entry
    }

    /** Drops the entries from [first] on. */
    fun truncateFrom(first: LogIndex) {
        while (entries.isNotEmpty() && entries.last().index >= first) entries.removeLast()
    }

    /** Drops the entries up to [index], which must be in the log. */
    fun dropUpTo(index: LogIndex) {
        if (index <= baseIndex) return
        val term = checkNotNull(termOrNull(index)) { "no entry at $index" }
        val head = SnapshotHead(index, term, membershipAt(index))
        while (entries.isNotEmpty() && entries.first().index <= index) entries.removeFirst()
        base = head
    }

    /** Starts anew after the entry that [head] stands for; keeps the entries that follow it. */
    fun resetTo(head: SnapshotHead) {
        val isKnown = head.index > baseIndex && termOrNull(head.index) == head.term
        if (isKnown) {
            dropUpTo(head.index)
        } else {
            entries.clear()
            base = head
        }
    }

    /** Returns the latest membership in the log, whether committed or not. */
    fun membership(): Membership = lastMembershipEntry()?.second ?: baseMembership()

    /** Returns the index of the latest membership entry, [LogIndex.ZERO] without one. */
    fun membershipIndex(): LogIndex = lastMembershipEntry()?.first ?: baseIndex

    /** Returns the membership in force at [index]. */
    fun membershipAt(index: LogIndex): Membership = entries
        .lastOrNull { it.index <= index && it.content is EntryContent.Members }
        ?.let { (it.content as EntryContent.Members).membership }
        ?: baseMembership()

    /** Returns the first index of the entries of the term at [index]. */
    fun firstOfTerm(index: LogIndex): LogIndex {
        val term = termOrNull(index)
        var first = index
        while (first > baseIndex + 1 && termOrNull(first - 1) == term) first -= 1
        return first
    }

    private fun baseMembership() = base?.membership ?: initial

    private fun lastMembershipEntry(): Pair<LogIndex, Membership>? {
        val entry = entries.lastOrNull { it.content is EntryContent.Members } ?: return null
        return entry.index to (entry.content as EntryContent.Members).membership
    }
}
