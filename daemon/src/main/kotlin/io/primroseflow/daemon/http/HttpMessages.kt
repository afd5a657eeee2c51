package io.primroseflow.daemon.http

import io.ktor.http.cio.HttpHeadersMap

/** Names of the header fields that concern one connection, in lower case. */
private val connectionFields = setOf(
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

/** A header field of a request or an answer. */
public data class HttpField(val name: String, val value: String)

/** Header fields in the order of their arrival. */
public class HttpFields(public val all: List<HttpField>) {
    /** Returns the value of the first field of this [name], whatever its case. */
    public fun findOrNull(name: String): String? =
        all.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all fields of this [name]. */
    public fun findAll(name: String): List<String> =
        all.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Returns the fields that concern more than one connection. */
    internal fun endToEnd(): List<HttpField> {
        val listed = findAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }
        return all.filter {
            val name = it.name.lowercase()
            name !in connectionFields && name !in listed
        }
    }
}

/** The head of a request. [target] is the path with its query, as the caller sent it. */
internal class HttpRequestHead(
    val method: String,
    val target: String,
    val version: String,
    val fields: HttpFields
) {
    val path: String get() = target.substringBefore('?')

    /** Whether the connection may carry another request after this one. */
    val keepsConnection: Boolean
        get() {
            val options = fields.findAll("Connection").flatMap { it.split(',') }
                .map { it.trim().lowercase() }
            if ("close" in options) return false
            return version == "HTTP/1.1" || "keep-alive" in options
        }
}

/** The head of an answer. */
internal class HttpAnswerHead(val status: Int, val fields: HttpFields) {
    /** Whether the connection may carry another request after this answer. */
    val keepsConnection: Boolean
        get() = fields.findAll("Connection").none { it.contains("close", ignoreCase = true) }
}

/** Copies all fields out of this map, which can be released then. */
internal fun HttpHeadersMap.toFields(): HttpFields {
    val fields = offsets().map {
        HttpField(nameAtOffset(it).toString(), valueAtOffset(it).toString())
    }
    return HttpFields(fields.toList())
}
