package io.primroseflow.daemon

import io.primroseflow.daemon.control.OperatorOperations

/** The HTTP status and body that answer an operator's request. */
public class OperatorAnswer(public val status: Int, public val body: String)

/** Translates the HTTP requests of operators into [OperatorOperations] of a control host. */
public fun interface OperatorApi {
    /** Carries out a request with [method], [path] and [body] and returns its answer. */
    public suspend fun answer(
        method: String,
        path: String,
        body: ByteArray,
        operations: OperatorOperations
    ): OperatorAnswer
}
