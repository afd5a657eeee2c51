package io.primroseflow.cli

/** Result of a command, reported as the exit code of the process. */
internal enum class ExitCode(val number: Int) {
    /** The command succeeded. */
    Ok(0),

    /** The requested operation failed or its result is unknown. */
    Failed(1),

    /** The arguments or the input files are invalid. */
    BadInput(2),

    /** No host answered. */
    Unreachable(3)
}

/** Thrown to end a command with the exit code [code] and a [message] for the operator. */
internal class CommandFailure(val code: ExitCode, message: String) : Exception(message)
