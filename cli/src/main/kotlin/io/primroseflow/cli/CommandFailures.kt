package io.primroseflow.cli

/** How a command ended, as the exit code of the process. */
internal enum class ExitCode(val number: Int) {
    Ok(0),

    /** The thing that was asked for did not come about. */
    Failed(1),

    /** The arguments or the input are wrong. */
    BadInput(2),

    /** No host answered. */
    Unreachable(3)
}

/** Ends a command with [code] and a [message] for the operator. */
internal class CommandFailure(val code: ExitCode, message: String) : Exception(message)
