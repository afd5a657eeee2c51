package io.primroseflow.daemon

import com.github.michaelbull.result.getOrElse
import io.primroseflow.daemon.caller.Credentials
import io.primroseflow.daemon.storage.DiskFolder
import io.primroseflow.daemon.storage.ReplicaStorage
import io.primroseflow.policy.CheckedPolicy
import io.primroseflow.policy.PolicyText
import io.primroseflow.policy.readPolicy
import java.io.IOException
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.name
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager

private const val EXIT_BAD_INPUT = 2

/** Exit status of a host that cannot do its work any more. */
private const val EXIT_UNUSABLE = 4

/** Exit status after a second signal, which ends the process without draining. */
private const val EXIT_FORCED = 3

/** Reports settings or files with which the host cannot start. */
private class InputException(message: String) : Exception(message)

/** Runs a host until SIGTERM or SIGINT, then drains and stops it. */
public fun main(arguments: Array<String>) {
    configureThreadPools()
    val daemon = try {
        Daemon(readInputs(arguments))
    } catch (e: InputException) {
        System.err.println(e.message)
        exitProcess(EXIT_BAD_INPUT)
    }
    val signals = StopSignals { exitProcess(EXIT_FORCED) }
    runBlocking { daemon.start() }
    signals.await()
    runBlocking { daemon.stop() }
    LogManager.shutdown()
    exitProcess(0)
}

private fun readInputs(arguments: Array<String>): DaemonInputs {
    val settings = SettingsReader(arguments, System.getenv()).read()
        .getOrElse { errors -> throw InputException(errors.joinToString("\n")) }
    return DaemonInputs(
        settings = settings,
        policy = loadPolicy(settings),
        credentials = loadCredentials(settings.credentials),
        operatorToken = readFrom(settings.operatorTokenFile) { it.readText().trim() },
        storage = settings.dataFolder?.let(::openStorage),
        onUnusable = ::endProcess
    )
}

/** Ends the process, so that it is started anew, as it cannot do its work because of [cause]. */
private fun endProcess(cause: String) {
    System.err.println("the process ends: $cause")
    // The thread that calls this may be one that the end of the process waits for.
    thread(name = "end") { exitProcess(EXIT_UNUSABLE) }
}

private fun loadPolicy(settings: DaemonSettings): CheckedPolicy {
    val base = readPolicyText(settings.policyBase)
    val overlay = settings.policyOverlay?.let(::readPolicyText)
    val policy = readPolicy(base, overlay)
        .getOrElse { problems -> throw InputException(problems.joinToString("\n")) }
    if (settings.dataCentre !in policy.policy.dataCentres) {
        throw InputException(
            "--data-centre: the policy has no data centre '${settings.dataCentre}'"
        )
    }
    return policy
}

private fun openStorage(path: Path): ReplicaStorage {
    val folder = readFrom(path) { DiskFolder(it) }
    return ReplicaStorage.open(folder).getOrElse { throw InputException("--data-folder: $it") }
}

private fun readPolicyText(path: Path) = readFrom(path) { PolicyText(it.name, it.readText()) }

private fun loadCredentials(path: Path): Credentials =
    Credentials.parse(readFrom(path) { it.readLines() })
        .getOrElse { throw InputException("$path:${it.line}: ${it.message}") }

/** Returns the result of [read]; an [IOException] becomes an [InputException]. */
private fun <T> readFrom(path: Path, read: (Path) -> T): T = try {
    read(path)
} catch (e: IOException) {
    throw InputException("cannot read $path: $e")
}
