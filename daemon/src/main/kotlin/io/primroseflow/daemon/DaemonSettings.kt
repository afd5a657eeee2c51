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

/** Another host of the system. */
public data class PeerAddress(
    val host: HostId,
    val dataCentre: DataCentreId,
    val address: String,
    val port: Int
)

/**
 * The settings of one process.
 *
 * @property bind IP address of all listeners
 * @property callerPort port for callers; 0 takes a free one
 * @property operatorPort port for operators; 0 takes a free one
 * @property peerPort port for other hosts; 0 takes a free one
 * @property dataFolder folder of the durable state, `null` on hosts without a disk
 * @property credentials file with the hashes of the callers' tokens
 * @property operatorTokenFile file with the operators' token
 * @property platformUrl base URL of the platform's list, `null` without one
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

/** A setting that is missing or malformed. */
public data class SettingError(val flag: String, val message: String) {
    override fun toString(): String = "--$flag (or ${environmentName(flag)}): $message"
}

/** Returns the name of the environment variable that stands for [flag]. */
internal fun environmentName(flag: String): String =
    "PRIMROSEFLOW_" + flag.uppercase().replace('-', '_')

/** Reads settings from flags, and from environment variables where a flag is absent. */
internal class SettingsReader(
    private val arguments: Array<String>,
    private val environment: Map<String, String>
) {
    private class Flag(val name: String, val value: () -> String?)

    private val parser = ArgParser("primroseflowd")
    private val flags = HashMap<String, Flag>()
    private val errors = ArrayList<SettingError>()

    /** Returns the settings, or everything that is wrong with them. */
    fun read(): Result<DaemonSettings, List<SettingError>> {
        declareAll()
        parser.parse(arguments)
        val settings = DaemonSettings(
            host = HostId(required("host-id")),
            dataCentre = DataCentreId(required("data-centre")),
            bind = find("bind") ?: DEFAULT_BIND,
            callerPort = port("caller-port", DEFAULT_CALLER_PORT),
            operatorPort = port("operator-port", DEFAULT_OPERATOR_PORT),
            peerPort = port("peer-port", DEFAULT_PEER_PORT),
            peers = peers(),
            dataFolder = find("data-folder")?.let(Path::of),
            replicas = replicas(),
            policyBase = Path.of(required("policy-base")),
            policyOverlay = find("policy-overlay")?.let(Path::of),
            credentials = Path.of(required("credentials")),
            operatorTokenFile = Path.of(required("operator-token-file")),
            platformUrl = find("platform-url")?.trimEnd('/')
        )
        return if (errors.isEmpty()) Ok(settings) else Err(errors)
    }

    private fun declareAll() {
        declare("host-id", "name of this host, unique among all hosts")
        declare("data-centre", "data centre of this host")
        declare("bind", "IP address of the listeners ($DEFAULT_BIND)")
        declare("caller-port", "port for callers ($DEFAULT_CALLER_PORT)")
        declare("operator-port", "port for operators ($DEFAULT_OPERATOR_PORT)")
        declare("peer-port", "port for other hosts ($DEFAULT_PEER_PORT)")
        declare("peers", "other hosts, as name@data-centre=address:port, separated by commas")
        declare("data-folder", "folder of the durable state, on hosts with a disk")
        declare("replicas", "names of the hosts that keep the control state, with commas")
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

    private fun find(name: String): String? {
        val flag = flags.getValue(name)
        val value = flag.value() ?: environment[environmentName(name)]
        return value?.takeIf { it.isNotBlank() }
    }

    private fun required(name: String): String {
        val value = find(name)
        if (value == null) errors += SettingError(name, "is missing")
        return value.orEmpty()
    }

    private fun port(name: String, default: Int): Int {
        val text = find(name) ?: return default
        val port = text.toIntOrNull()?.takeIf { it in 0..MAX_PORT }
        if (port == null) errors += SettingError(name, "'$text' is not a port from 0 to $MAX_PORT")
        return port ?: default
    }

    private fun peers(): PersistentList<PeerAddress> {
        val items = find("peers")?.split(',').orEmpty().map { it.trim() }.filter { it.isNotEmpty() }
        return items.mapNotNull(::peerOrNull).toPersistentList()
    }

    private fun replicas(): PersistentList<HostId> =
        find("replicas")?.split(',').orEmpty().map { it.trim() }.filter { it.isNotEmpty() }
            .map(::HostId).toPersistentList()

    private fun peerOrNull(text: String): PeerAddress? {
        val match = peerPattern.matchEntire(text)
        val port = match?.groupValues?.get(4)?.toIntOrNull()?.takeIf { it in 1..MAX_PORT }
        if (match == null || port == null) {
            errors += SettingError("peers", "'$text' is not name@data-centre=address:port")
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
        val peerPattern = Regex("([a-z0-9-]+)@([a-z0-9-]+)=([0-9a-fA-F.:]+):([0-9]+)")
    }
}
