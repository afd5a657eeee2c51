package io.primroseflow.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.model.DataCentreId
import io.primroseflow.model.HostId
import java.nio.file.Path
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * The address at which another host accepts connections from its peers.
 *
 * @property address IP address
 */
public data class PeerAddress(
    val host: HostId,
    val dataCentre: DataCentreId,
    val address: String,
    val port: Int
)

/**
 * The settings of a daemon.
 *
 * @property host name of this host, unique among all hosts
 * @property bind IP address of all listeners
 * @property callerPort port for callers; 0 selects a free port
 * @property operatorPort port for operators; 0 selects a free port
 * @property peerPort port for other hosts; 0 selects a free port
 * @property peers the other hosts
 * @property dataFolder folder of the durable state, `null` on hosts without a disk
 * @property replicas hosts that replicate the control state
 * @property policyBase policy file shared by all sites
 * @property policyOverlay policy file of this site, `null` without one
 * @property credentials file with the hashes of the callers' tokens
 * @property operatorTokenFile file with the operators' token
 * @property platformUrl base URL of the platform's list of hosts, `null` without one
 */
public data class DaemonSettings(
    val host: HostId,
    val dataCentre: DataCentreId,
    val bind: String,
    val callerPort: Int,
    val operatorPort: Int,
    val peerPort: Int,
    val peers: PersistentList<PeerAddress>,
    val dataFolder: Path?,
    val replicas: PersistentList<HostId>,
    val policyBase: Path,
    val policyOverlay: Path?,
    val credentials: Path,
    val operatorTokenFile: Path,
    val platformUrl: String?
)

/**
 * A setting that is missing or malformed.
 *
 * @property flag name of the command-line flag, without the leading dashes
 */
public data class SettingError(val flag: String, val message: String) {
    override fun toString(): String = "--$flag (or ${environmentName(flag)}): $message"
}

/** Returns the name of the environment variable that is read when [flag] is absent. */
internal fun environmentName(flag: String): String =
    "PRIMROSEFLOW_" + flag.uppercase().replace('-', '_')

/** Reads settings from command-line flags, or from environment variables for absent flags. */
internal class SettingsReader(
    private val arguments: Array<String>,
    private val environment: Map<String, String>
) {
    private class Flag(val name: String, val value: () -> String?)

    private val parser = ArgParser("primroseflowd")
    private val flags = HashMap<String, Flag>()
    private val errors = ArrayList<SettingError>()

    /** Returns the settings, or all errors found in them. */
    fun read(): Result<DaemonSettings, List<SettingError>> {
        declareFlags()
        parser.parse(arguments)
        val settings = DaemonSettings(
            host = HostId(readRequired("host-id")),
            dataCentre = DataCentreId(readRequired("data-centre")),
            bind = findOrNull("bind") ?: DEFAULT_BIND,
            callerPort = readPort("caller-port", DEFAULT_CALLER_PORT),
            operatorPort = readPort("operator-port", DEFAULT_OPERATOR_PORT),
            peerPort = readPort("peer-port", DEFAULT_PEER_PORT),
            peers = readPeers(),
            dataFolder = findOrNull("data-folder")?.let(Path::of),
            replicas = readReplicas(),
            policyBase = Path.of(readRequired("policy-base")),
            policyOverlay = findOrNull("policy-overlay")?.let(Path::of),
            credentials = Path.of(readRequired("credentials")),
            operatorTokenFile = Path.of(readRequired("operator-token-file")),
            platformUrl = findOrNull("platform-url")?.trimEnd('/')
        )
        return if (errors.isEmpty()) Ok(settings) else Err(errors)
    }

    private fun declareFlags() {
        declare("host-id", "name of this host, unique among all hosts")
        declare("data-centre", "data centre of this host")
        declare("bind", "IP address of the listeners ($DEFAULT_BIND)")
        declare("caller-port", "port for callers ($DEFAULT_CALLER_PORT)")
        declare("operator-port", "port for operators ($DEFAULT_OPERATOR_PORT)")
        declare("peer-port", "port for other hosts ($DEFAULT_PEER_PORT)")
        declare("peers", "other hosts, as name@data-centre=address:port, separated by commas")
        declare("data-folder", "folder of the durable state, on hosts with a disk")
        declare("replicas", "hosts that replicate the control state, separated by commas")
        declare("policy-base", "policy file shared by all sites")
        declare("policy-overlay", "policy file of this site")
        declare("credentials", "file with the hashes of the callers' tokens")
        declare("operator-token-file", "file with the operators' token")
        declare("platform-url", "base URL of the platform's list of hosts")
    }

    private fun declare(name: String, description: String) {
        val option = parser.option(
            type = ArgType.String,
            fullName = name,
            description = "$description [${environmentName(name)}]"
        )
        flags[name] = Flag(name) { option.value }
    }

    private fun findOrNull(name: String): String? {
        val flag = flags.getValue(name)
        val value = flag.value() ?: environment[environmentName(name)]
        return value?.takeIf { it.isNotBlank() }
    }

    private fun readRequired(name: String): String {
        val value = findOrNull(name)
        if (value == null) errors += SettingError(name, "is missing")
        return value.orEmpty()
    }

    private fun readPort(name: String, default: Int): Int {
        val text = findOrNull(name) ?: return default
        val port = text.toIntOrNull()?.takeIf { it in 0..MAX_PORT }
        if (port == null) errors += SettingError(name, "'$text' is not a port from 0 to $MAX_PORT")
        return port ?: default
    }

    private fun readPeers(): PersistentList<PeerAddress> {
        val items = findOrNull("peers")?.split(',').orEmpty()
            .map { it.trim() }.filter { it.isNotEmpty() }
        return items.mapNotNull(::parsePeerOrNull).toPersistentList()
    }

    private fun readReplicas(): PersistentList<HostId> =
        findOrNull("replicas")?.split(',').orEmpty().map { it.trim() }.filter { it.isNotEmpty() }
            .map(::HostId).toPersistentList()

    private fun parsePeerOrNull(text: String): PeerAddress? {
        val match = peerPattern.matchEntire(text)
        val port = match?.groupValues?.get(4)?.toIntOrNull()?.takeIf { it in 1..MAX_PORT }
        if (match == null || port == null) {
            errors += SettingError("peers", "'$text' is not $PEER_FORM")
            return null
        }
        val (name, dataCentre, address) = match.destructured
        return PeerAddress(HostId(name), DataCentreId(dataCentre), address, port)
    }

    private companion object {
        const val DEFAULT_BIND = "127.0.0.1"
        const val DEFAULT_CALLER_PORT = 8080
        const val DEFAULT_OPERATOR_PORT = 8081
        const val DEFAULT_PEER_PORT = 8082
        const val MAX_PORT = 65_535
        const val PEER_FORM = "name@data-centre=address:port with a port from 1 to $MAX_PORT"
        val peerPattern = Regex("([a-z0-9-]+)@([a-z0-9-]+)=([0-9a-fA-F.:]+):([0-9]+)")
    }
}
