package io.primroseflow.control

/** End of the times that a UUID of version 7 can hold, in milliseconds since the epoch. */
private const val TIME_END_MILLIS = 1L shl 48

/** Maximum length of the name of a version or of the service of a rollout, in characters. */
public const val MAX_ROLLOUT_NAME_LENGTH: Int = 256

/** Longest duration of a rollout, in milliseconds: a week. */
public const val MAX_ROLLOUT_MILLIS: Long = 7L * 24 * 3_600 * 1_000

/**
 * Returns what is wrong with a value of this command, or `null` if it may be proposed.
 *
 * A command that is in the log is applied by every replica, so its values are checked before.
 */
public fun ControlCommand.faultOrNull(): String? = when {
    atMillis !in 0..<TIME_END_MILLIS -> "the time $atMillis is out of range"

    this is ControlCommand.Claim && retentionMillis !in 0..<TIME_END_MILLIS ->
        "the retention $retentionMillis is out of range"

    // The revision after it must exist.
    this is ControlCommand.RaisePolicy && revision.number == Long.MAX_VALUE ->
        "the revision $revision is out of range"

    this is ControlCommand.StartRollout && durationMillis !in 1..MAX_ROLLOUT_MILLIS ->
        "the duration $durationMillis is out of range"

    this is ControlCommand.StartRollout &&
        (
            version.length !in 1..MAX_ROLLOUT_NAME_LENGTH ||
                service.value.length !in 1..MAX_ROLLOUT_NAME_LENGTH
            ) ->
        "the name of the service or of the version is empty or too long"

    else -> null
}
