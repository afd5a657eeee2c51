package io.primroseflow.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.coroutines.runBlocking

private const val HOSTS_VARIABLE = "PRIMROSEFLOW_HOSTS"

private const val TOKEN_FILE_VARIABLE = "PRIMROSEFLOW_OPERATOR_TOKEN_FILE"

private const val TOKEN_VARIABLE = "PRIMROSEFLOW_OPERATOR_TOKEN"

/** A command that sends requests to the operator ports of hosts. */
@OptIn(ExperimentalCli::class)
internal abstract class HostCommand(name: String, description: String) :
    Subcommand(name, description) {
    private val hostsOption by option(
        ArgType.String,
        fullName = "hosts",
        description = "Operator addresses host:port, separated by commas [$HOSTS_VARIABLE]"
    )
    private val tokenFile by option(
        ArgType.String,
        fullName = "operator-token-file",
        description = "File with the operator token [$TOKEN_FILE_VARIABLE or $TOKEN_VARIABLE]"
    )

    /** Addresses of the operator ports, each as `host:port`. */
    protected val hosts: List<String> by lazy {
        val text = hostsOption ?: System.getenv(HOSTS_VARIABLE)
        val addresses = text?.split(',').orEmpty().map { it.trim() }.filter { it.isNotEmpty() }
        if (addresses.isEmpty()) {
            throw CommandFailure(ExitCode.BadInput, "--hosts (or $HOSTS_VARIABLE) is missing")
        }
        addresses
    }

    override fun execute(): Unit = runBlocking {
        OperatorClient(token()).use { run(it) }
    }

    /** Runs the command with [client]. */
    protected abstract suspend fun run(client: OperatorClient)

    /**
     * Calls [request] with the address of each host in turn, until one of them answers.
     *
     * @return the first answer
     * @throws CommandFailure if no host answers
     */
    protected suspend fun <T> requestFromAny(
        request: suspend (String) -> Result<T, ClientError>
    ): T {
        val errors = ArrayList<ClientError>()
        for (host in hosts) {
            request(host).fold(success = { return it }, failure = { errors += it })
        }
        throw CommandFailure(ExitCode.Unreachable, errors.joinToString("\n"))
    }

    private fun token(): String {
        val file = tokenFile ?: System.getenv(TOKEN_FILE_VARIABLE)
        if (file != null) return readFile(file).text.trim()
        return System.getenv(TOKEN_VARIABLE) ?: throw CommandFailure(
            ExitCode.BadInput,
            "--operator-token-file (or $TOKEN_FILE_VARIABLE or $TOKEN_VARIABLE) is missing"
        )
    }
}
