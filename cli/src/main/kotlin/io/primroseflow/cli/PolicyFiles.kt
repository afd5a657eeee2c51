package io.primroseflow.cli

import com.github.michaelbull.result.fold
import io.primroseflow.policy.CheckedPolicy
import io.primroseflow.policy.PolicyText
import io.primroseflow.policy.readPolicy
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.readText

/**
 * Reads the file at [path].
 *
 * @throws CommandFailure if the file cannot be read
 */
internal fun readFile(path: String): PolicyText = try {
    val file = Path.of(path)
    PolicyText(file.name, file.readText())
} catch (e: IOException) {
    throw CommandFailure(ExitCode.BadInput, "cannot read $path: ${e.message}")
}

/**
 * Reads and validates the policy in the files [base] and [overlay].
 *
 * @throws CommandFailure if a file cannot be read or the policy is invalid
 */
internal fun readPolicyFiles(base: String, overlay: String?): CheckedPolicy =
    readPolicy(readFile(base), overlay?.let(::readFile)).fold(
        success = { it },
        failure = { problems ->
            val count = if (problems.size == 1) "1 problem" else "${problems.size} problems"
            throw CommandFailure(ExitCode.BadInput, (problems + count).joinToString("\n"))
        }
    )
