package io.primroseflow.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.model.CallerId
import java.security.MessageDigest

/** A line of a credentials file that cannot be read. */
internal data class CredentialsError(val line: Int, val message: String)

/** The SHA-256 hashes of the callers' bearer tokens. */
internal class Credentials private constructor(private val byHash: Map<String, Entry>) {
    private class Entry(val hash: ByteArray, val caller: CallerId)

    /** Number of callers with a token. */
    val size: Int get() = byHash.size

    /** Returns the caller whose token is [token], or `null` when there is none. */
    fun findOrNull(token: String): CallerId? {
        val hash = sha256(token)
        val entry = byHash[hash.toHexString()] ?: return null
        return entry.caller.takeIf { MessageDigest.isEqual(entry.hash, hash) }
    }

    companion object {
        private const val HASH_LENGTH = 32

        /**
         * Reads the lines of a credentials file: a caller's name and the hexadecimal SHA-256 of
         * its token, separated by blanks. Empty lines and lines that start with `#` are skipped.
         */
        fun parse(lines: List<String>): Result<Credentials, CredentialsError> {
            val byHash = HashMap<String, Entry>()
            for ((i, line) in lines.withIndex()) {
                val fields = line.trim().split(Regex("\\s+"))
                if (line.isBlank() || line.startsWith("#")) continue
                val hash = fields.getOrNull(1)?.let(::hashOrNull)
                if (fields.size != 2 || hash == null) {
                    return Err(CredentialsError(i + 1, "expected a caller and a SHA-256 hash"))
                }
                val old = byHash.put(hash.toHexString(), Entry(hash, CallerId(fields[0])))
                if (old != null) return Err(CredentialsError(i + 1, "the hash is used twice"))
            }
            return Ok(Credentials(byHash))
        }

        private fun hashOrNull(text: String): ByteArray? = try {
            text.hexToByteArray().takeIf { it.size == HASH_LENGTH }
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

/** Returns the SHA-256 hash of [text]. */
internal fun sha256(text: String): ByteArray =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
