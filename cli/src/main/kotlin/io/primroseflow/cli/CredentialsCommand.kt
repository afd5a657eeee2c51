package io.primroseflow.cli

import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.nio.file.attribute.PosixFilePermissions
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required

private const val TOKEN_BYTES = 24

/** Manages the callers' credentials. */
@OptIn(ExperimentalCli::class)
internal class CredentialsCommand : Subcommand("credentials", "Manage the callers' credentials") {
    init {
        subcommands(AddCredentialCommand())
    }

    override fun execute() = Unit
}

@OptIn(ExperimentalCli::class)
private class AddCredentialCommand :
    Subcommand("add", "Create a token for a caller and write it to a new file") {
    private val file by option(ArgType.String, description = "Credentials file").required()
    private val caller by option(ArgType.String, description = "Name of the caller").required()
    private val tokenFile by option(
        ArgType.String,
        fullName = "token-file",
        description = "File to create for the token"
    ).required()

    override fun execute() {
        val credentials = Path.of(file)
        val lines = if (credentials.exists()) credentials.readLines() else emptyList()
        if (lines.any { it.substringBefore(' ') == caller }) {
            throw CommandFailure(ExitCode.BadInput, "$caller already has a token")
        }
        val token = newToken()
        writeToken(Path.of(tokenFile), token)
        val hash = MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
        Files.writeString(
            credentials,
            "$caller ${hash.toHexString()}\n",
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND
        )
        println("the token of $caller is in $tokenFile; hosts take it when they are restarted")
    }

    private fun newToken(): String {
        val bytes = ByteArray(TOKEN_BYTES)
        SecureRandom().nextBytes(bytes)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    private fun writeToken(path: Path, token: String) {
        if (path.exists()) {
            throw CommandFailure(
                ExitCode.BadInput,
                "$path already exists; the token must go to a new file"
            )
        }
        val ownerOnly = PosixFilePermissions.fromString("rw-------")
        Files.createFile(path, PosixFilePermissions.asFileAttribute(ownerOnly))
        Files.writeString(path, token)
    }
}
