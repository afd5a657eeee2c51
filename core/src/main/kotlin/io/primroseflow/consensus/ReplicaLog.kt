package io.primroseflow.consensus

/**
 * The log entries that a replica holds in memory.
 *
 * Entries that a snapshot covers may have been dropped.
 *
 * @param initialMembership members of the group until a snapshot or a log entry defines them
 */
internal class ReplicaLog(private val initialMembership: Membership, restored: RestoredState) {
    private val entries = ArrayDeque<LogEntry>()

    /** Describes the last dropped entry, `null` if no entry was dropped. */
    private var base: SnapshotMetadata? = restored.snapshot?.metadata

    init {
        val base = baseIndex
        entries += restored.entries.filter { it.index > base }
        for ((i, entry) in entries.withIndex()) {
            check(entry.index == base + (i + 1)) { "entry $i has index ${entry.index}" }
        }
    }

    /** Index of the last dropped entry, [LogIndex.ZERO] if no entry was dropped. */
    val baseIndex: LogIndex get() = base?.index ?: LogIndex.ZERO

    val lastIndex: LogIndex get() = baseIndex + entries.size

    val lastTerm: Term get() = entries.lastOrNull()?.term ?: base?.term ?: Term.ZERO

    /** Returns the term of the entry at [index], or `null` if it was dropped or does not exist. */
    fun termOrNull(index: LogIndex): Term? = when {
        index == baseIndex -> base?.term ?: Term.ZERO
        else -> entryOrNull(index)?.term
    }

    fun entryOrNull(index: LogIndex): LogEntry? =
        entries.getOrNull((index.position - baseIndex.position - 1).toInt())

    /**
     * Returns up to [limit] entries starting at index [first].
     *
     * @param maxBytes limit of the total size of the commands; a first entry that exceeds it is
     *   returned alone
     */
    fun entriesFrom(first: LogIndex, limit: Int, maxBytes: Int = Int.MAX_VALUE): List<LogEntry> {
        val start = (first.position - baseIndex.position - 1).toInt()
        if (start < 0 || start >= entries.size) return emptyList()
        val found = entries.subList(start, start + minOf(entries.size - start, limit))
        if (maxBytes == Int.MAX_VALUE) return found.toList()
        var bytes = 0L
        return found.withIndex().takeWhile { (position, entry) ->
            bytes += entry.commandSize
            position == 0 || bytes <= maxBytes
        }.map { it.value }
    }

    /**
     * Drops the entries up to [index], except for the last ones: at most [retainedEntries], with
     * commands of at most [retainedBytes] in total.
     */
    fun compact(index: LogIndex, retainedEntries: Int, retainedBytes: Int) {
        var lastDropped = index
        var bytes = 0L
        var retained = 0
        while (lastDropped > baseIndex && retained < retainedEntries) {
            bytes += entryOrNull(lastDropped)?.commandSize ?: 0
            if (bytes > retainedBytes) break
            lastDropped -= 1
            retained++
        }
        if (lastDropped > baseIndex) dropUpTo(lastDropped)
    }

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow $lastIndex" }
        entries += entry
    }

    /** Drops the entries with index [first] and above. */
    fun truncateFrom(first: LogIndex) {
        while (entries.isNotEmpty() && entries.last().index >= first) entries.removeLast()
    }

    /** Drops the entries up to and including [index], which must be in the log. */
    fun dropUpTo(index: LogIndex) {
        if (index <= baseIndex) return
        val term = checkNotNull(termOrNull(index)) { "the log has no entry at index $index" }
        val metadata = SnapshotMetadata(index, term, membershipAt(index))
        while (entries.isNotEmpty() && entries.first().index <= index) entries.removeFirst()
        base = metadata
    }

    /**
     * Replaces the log with the snapshot that [metadata] describes. Keeps the entries that follow
     * the snapshot if the log contains the last entry that the snapshot covers.
     */
    fun installSnapshot(metadata: SnapshotMetadata) {
        val containsLastEntry =
            metadata.index > baseIndex && termOrNull(metadata.index) == metadata.term
        if (containsLastEntry) {
            dropUpTo(metadata.index)
        } else {
            entries.clear()
            base = metadata
        }
    }

    /** Returns the latest membership, committed or not. */
    fun membership(): Membership = lastMembershipEntry()?.second ?: baseMembership()

    /** Returns the index of the latest membership entry, [baseIndex] if there is none. */
    fun membershipIndex(): LogIndex = lastMembershipEntry()?.first ?: baseIndex

    /** Returns the membership in force at [index]. */
    fun membershipAt(index: LogIndex): Membership = entries
        .lastOrNull { it.index <= index && it.content is EntryContent.Members }
        ?.let { (it.content as EntryContent.Members).membership }
        ?: baseMembership()

    /** Returns the index of the first held entry that has the same term as [index]. */
    fun firstIndexOfTermAt(index: LogIndex): LogIndex {
        val term = termOrNull(index)
        var first = index
        while (first > baseIndex + 1 && termOrNull(first - 1) == term) first -= 1
        return first
    }

    private fun baseMembership() = base?.membership ?: initialMembership

    private fun lastMembershipEntry(): Pair<LogIndex, Membership>? {
        val entry = entries.lastOrNull { it.content is EntryContent.Members } ?: return null
        return entry.index to (entry.content as EntryContent.Members).membership
    }
}
