package io.primroseflow.daemon

import java.io.IOException
import java.nio.file.Path
import java.util.jar.JarFile
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.streams.asSequence

private const val CLASS_SUFFIX = ".class"

/** Beginnings of the names of the archives whose classes a routed process uses. */
private val usedArchives = listOf(
    "core-",
    "daemon-",
    "kotlin-result",
    "kotlin-stdlib-2",
    "kotlinx-collections",
    "kotlinx-coroutines-core",
    "kotlinx-io",
    "kotlinx-serialization",
    "ktor-http-",
    "ktor-io",
    "ktor-network-jvm",
    "ktor-utils",
    "log4j-",
    "snakeyaml"
)

/**
 * Loads the classes that a routed process uses, so that a virtual machine which archives its
 * classes at exit writes them down. Processes that start from such an archive need no time to read
 * classes, and no two of their threads read the same files.
 *
 * @param main the class of the program, whose archive stands beside the folder of its libraries
 * @return the number of classes that were loaded
 */
public fun loadClassesForArchive(main: Class<*>): Int {
    val own = Path.of(main.protectionDomain.codeSource.location.toURI())
    val libraries = own.resolveSibling("lib").takeIf { it.isDirectory() }
        ?.listDirectoryEntries("*.jar").orEmpty()
        .filter { jar -> usedArchives.any { jar.name.startsWith(it) } }
    return (listOf(own) + libraries).sumOf { loadArchive(it, main.classLoader) }
}

private fun loadArchive(archive: Path, loader: ClassLoader): Int = try {
    JarFile(archive.toFile()).use { jar ->
        jar.stream().asSequence()
            .map { it.name }
            .filter { it.endsWith(CLASS_SUFFIX) && "META-INF" !in it && "module-info" !in it }
            .count { isLoaded(it.removeSuffix(CLASS_SUFFIX).replace('/', '.'), loader) }
    }
} catch (e: IOException) {
    System.err.println("classes of $archive are left out: $e")
    0
}

private fun isLoaded(name: String, loader: ClassLoader): Boolean = try {
    Class.forName(name, false, loader)
    true
} catch (_: ClassNotFoundException) {
    false
} catch (_: LinkageError) {
    // A class for an optional library that is not on the class path.
    false
}
