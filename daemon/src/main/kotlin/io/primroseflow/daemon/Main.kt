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
import kotlin.io.path.name
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager

private const val EXIT_BAD_INPUT = 2

private const val EXIT_FORCED = 3

private class BadInput(message: String) : Exception(message)

/** Runs one host until SIGTERM or SIGINT. */
public fun main(arguments: Array<String>) {
    sizeThreadPools()
    val daemon = try {
        Daemon(readInputs(arguments))
    } catch (e: BadInput) {
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
        .getOrElse { errors -> throw BadInput(errors.joinToString("\n")) }
    return DaemonInputs(
        settings = settings,
        policy = loadPolicy(settings),
        credentials = loadCredentials(settings.credentials),
        operatorToken = load(settings.operatorTokenFile) { it.readText().trim() },
        storage = settings.dataFolder?.let(::openStorage)
    )
}

private fun loadPolicy(settings: DaemonSettings): CheckedPolicy {
    val base = loadText(settings.policyBase)
    val overlay = settings.policyOverlay?.let(::loadText)
    val policy = readPolicy(base, overlay)
        .getOrElse { problems -> throw BadInput(problems.joinToString("\n")) }
    if (settings.dataCentre !in policy.policy.dataCentres) {
        throw BadInput("--data-centre: the policy has no data centre '${settings.dataCentre}'")
    }
    return policy
}

private fun openStorage(path: Path): ReplicaStorage {
    val folder = load(path) { DiskFolder(it) }
    return ReplicaStorage.open(folder).getOrElse { throw BadInput("--data-folder: $it") }
}

private fun loadText(path: Path) = load(path) { PolicyText(it.name, it.readText()) }

private fun loadCredentials(path: Path): Credentials =
    Credentials.parse(load(path) { it.readLines() })
        .getOrElse { throw BadInput("$path:${it.line}: ${it.message}") }

private fun <T> load(path: Path, read: (Path) -> T): T = try {
    read(path)
} catch (e: IOException) {
    throw BadInput("cannot read $path: $e")
}
