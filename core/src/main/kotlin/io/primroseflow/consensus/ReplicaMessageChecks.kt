package io.primroseflow.consensus

/** Largest term and index of a message; neither is ever reached by counting. */
private const val MAX_POSITION = 1L shl 53

/**
 * Returns `true` if any replica could have sent this message: its values are in range, and its
 * entries follow each other.
 */
internal fun ReplicaMessage.isPossible(): Boolean = isValid(term) && when (this) {
    is ReplicaMessage.VoteRequest -> isValid(lastIndex) && isValid(lastTerm)

    is ReplicaMessage.AppendRequest -> isValid(previousIndex) && isValid(previousTerm) &&
        isValid(commitIndex) && round >= 0 && areEntriesPossible()

    is ReplicaMessage.AppendReply -> isValid(index) && round >= 0

    is ReplicaMessage.SnapshotChunk ->
        isValid(metadata.index) && metadata.term.number in 0..term.number && offset >= 0

    is ReplicaMessage.SnapshotReply -> isValid(index) && offset >= 0

    is ReplicaMessage.VoteReply, is ReplicaMessage.TimeoutNow -> true
}

private fun ReplicaMessage.AppendRequest.areEntriesPossible(): Boolean =
    entries.withIndex().all { (i, entry) ->
        val content = entry.content
        entry.index == previousIndex + (i + 1) && entry.term.number in 0..term.number &&
            (content !is EntryContent.Members || content.membership.voters.isNotEmpty())
    }

private fun isValid(term: Term): Boolean = term.number in 0..MAX_POSITION

private fun isValid(index: LogIndex): Boolean = index.position in 0..MAX_POSITION
