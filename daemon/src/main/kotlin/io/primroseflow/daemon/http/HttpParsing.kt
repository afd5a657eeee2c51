package io.primroseflow.daemon.http

import java.io.IOException
import kotlinx.coroutines.CancellationException

/** Thrown if the input of a connection is not an HTTP message. */
internal class MalformedMessageException(reason: String, cause: Exception? = null) :
    IOException("not an HTTP message: $reason", cause)

/**
 * Runs [parse], which reads an HTTP message by Ktor's parser.
 *
 * On input that is not HTTP the parser fails with exceptions of many types, also with an index that
 * is out of bounds.
 *
 * @throws MalformedMessageException if the input is not an HTTP message
 */
internal inline fun <T> parsingHttp(parse: () -> T): T = try {
    parse()
} catch (e: IOException) {
    throw e
} catch (e: CancellationException) {
    throw e
} catch (e: Exception) {
    throw MalformedMessageException(e.message ?: e.toString(), e)
}
