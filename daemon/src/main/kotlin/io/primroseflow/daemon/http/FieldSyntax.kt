package io.primroseflow.daemon.http

private val statusLine =
    Regex("HTTP/[0-9]\\.[0-9] [0-9]{3}(?: .*)?", RegexOption.DOT_MATCHES_ALL)

/** Returns whether [line] is a status line, see RFC 9112, section 4; its bytes are Latin-1. */
internal fun isStatusLine(line: String): Boolean =
    statusLine.matches(line) && line.none { it.isForbiddenInText() }

/** Returns whether [line] is a header field, see RFC 9110, section 5; its bytes are Latin-1. */
internal fun isField(line: String): Boolean {
    val colon = line.indexOf(':')
    return colon > 0 &&
        (0 until colon).all { line[it].isTokenCharacter() } &&
        (colon + 1 until line.length).none { line[it].isForbiddenInText() }
}

/** Whether this may be a part of the name of a field. */
private fun Char.isTokenCharacter(): Boolean =
    this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9' || this in "!#$%&'*+-.^_`|~"

/** Whether this is a control character other than the tab. */
private fun Char.isForbiddenInText(): Boolean = (this < ' ' && this != '\t') || this == '\u007f'
