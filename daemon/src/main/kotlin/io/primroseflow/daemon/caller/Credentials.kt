package io.primroseflow.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.primroseflow.model.CallerId
import java.security.MessageDigest

/** A malformed line of a credentials file, numbered from 1. */
internal data class CredentialsError(val line: Int, val message: String)

/** Maps the SHA-256 hashes of bearer tokens to callers. */
internal class Credentials private constructor(private val byHash: Map<String, Entry>) {
    private class Entry(val hash: ByteArray, val caller: CallerId)

    /** Number of tokens. */
    val size: Int get() = byHash.size

    /** Returns the caller that [token] belongs to, or `null` if the token is unknown. */
    fun findOrNull(token: String): CallerId? {
        val hash = sha256(token)
        val entry = byHash[hash.toHexString()] ?: return null
        return entry.caller.takeIf { MessageDigest.isEqual(entry.hash, hash) }
    }

    companion object {
        private const val HASH_BYTES = 32

        /**
         * Parses the lines of a credentials file.
         *
         * Each line holds the name of a caller and the SHA-256 hash of its token in hexadecimal,
         * separated by whitespace. Blank lines and lines that start with `#` are skipped.
         */
        fun parse(lines: List<String>): Result<Credentials, CredentialsError> {
            val byHash = HashMap<String, Entry>()
            for ((i, line) in lines.withIndex()) {
                val fields = line.trim().split(Regex("\\s+"))
                if (line.isBlank() || line.startsWith("#")) continue
                val hash = fields.getOrNull(1)?.let(::hashOrNull)
                if (fields.size != 2 || hash == null) {
                    return Err(
                        CredentialsError(i + 1, "expected a caller and a hexadecimal SHA-256 hash")
                    )
                }
                val old = byHash.put(hash.toHexString(), Entry(hash, CallerId(fields[0])))
                if (old != null) return Err(CredentialsError(i + 1, "the hash is used twice"))
            }
            return Ok(Credentials(byHash))
        }

        private fun hashOrNull(text: String): ByteArray? = try {
            text.hexToByteArray().takeIf { it.size == HASH_BYTES }
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

/** Returns the SHA-256 hash of [text] in UTF-8. */
internal fun sha256(text: String): ByteArray =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
