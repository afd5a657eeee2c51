package io.primroseflow.cli

import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Runs one command and exits with its [ExitCode]. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val parser = ArgParser("primroseflow", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        ConfigCommand(),
        StatusCommand(),
        TimelineCommand(),
        DrainCommand(),
        MembersCommand(),
        CredentialsCommand(),
        ExplainCommand()
    )
    val code = try {
        parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
        ExitCode.Ok
    } catch (e: CommandFailure) {
        System.err.println(e.message)
        e.code
    }
    exitProcess(code.number)
}
