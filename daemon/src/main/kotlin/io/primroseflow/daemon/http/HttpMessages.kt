package io.primroseflow.daemon.http

import io.ktor.http.cio.HttpHeadersMap

/** Names in lower case of the header fields that apply to a single connection only. */
private val hopByHopFields = setOf(
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade"
)

/** A header field of a request or response. */
public data class HttpField(val name: String, val value: String)

/** Header fields in the order in which they were received. */
public class HttpFields(public val all: List<HttpField>) {
    /** Returns the value of the first field with this [name], ignoring case, or `null`. */
    public fun findOrNull(name: String): String? =
        all.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all fields with this [name], ignoring case. */
    public fun findAll(name: String): List<String> =
        all.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Returns the fields that a proxy forwards to the next hop. */
    internal fun endToEnd(): List<HttpField> {
        val listed = findAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
        return all.filter {
            val name = it.name.lowercase()
            name !in hopByHopFields && name !in listed
        }
    }
}

/**
 * The request line and header fields of a request.
 *
 * @property target the path and query as sent by the client
 */
internal class HttpRequestHead(
    val method: String,
    val target: String,
    val version: String,
    val fields: HttpFields
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')

    /** Whether the client keeps the connection open for another request. */
    val keepsConnection: Boolean
        get() {
            val options = fields.findAll("Connection").flatMap { it.split(',') }
                .map { it.trim().lowercase() }
            if ("close" in options) return false
            return version == "HTTP/1.1" || "keep-alive" in options
        }
}

/** The status and header fields of a response. */
internal class HttpAnswerHead(val status: Int, val fields: HttpFields) {
    /** Whether the server keeps the connection open for another request. */
    val keepsConnection: Boolean
        get() = fields.findAll("Connection").none { it.contains("close", ignoreCase = true) }
}

/** Copies all fields out of this map, so that the map can be released. */
internal fun HttpHeadersMap.toFields(): HttpFields {
    val fields = offsets().map {
        HttpField(nameAtOffset(it).toString(), valueAtOffset(it).toString())
    }
    return HttpFields(fields.toList())
}
