package io.primroseflow.daemon

import java.io.IOException
import java.nio.file.Path
import java.util.jar.JarFile
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.streams.asSequence

private const val CLASS_SUFFIX = ".class"

/**
 * File name prefixes of the JAR files whose classes are all loaded. Of the other libraries the
 * archive gets what the rehearsal of the start uses, since a larger archive costs each process
 * memory.
 */
private val usedJarPrefixes = listOf("core-", "daemon-", "kotlinx-coroutines-core", "ktor-io")

/**
 * Loads the classes that entry and control hosts use, so that a JVM started with
 * `-XX:ArchiveClassesAtExit` stores them in its class data sharing archive.
 *
 * A process that starts from this archive does not spend time on reading class files, and its
 * threads do not compete for the same JAR files.
 *
 * @param main the main class; its JAR file is located next to the `lib` folder
 * @return the number of loaded classes
 */
public fun loadClassesForArchive(main: Class<*>): Int {
    val mainJar = Path.of(main.protectionDomain.codeSource.location.toURI())
    val libraryJars = mainJar.resolveSibling("lib").takeIf { it.isDirectory() }
        ?.listDirectoryEntries("*.jar").orEmpty()
        .filter { jar -> usedJarPrefixes.any { jar.name.startsWith(it) } }
    return (listOf(mainJar) + libraryJars).sumOf { loadJar(it, main.classLoader) }
}

private fun loadJar(path: Path, loader: ClassLoader): Int = try {
    JarFile(path.toFile()).use { jar ->
        jar.stream().asSequence()
            .map { it.name }
            .filter { it.endsWith(CLASS_SUFFIX) && "META-INF" !in it && "module-info" !in it }
            .count { tryLoad(it.removeSuffix(CLASS_SUFFIX).replace('/', '.'), loader) }
    }
} catch (e: IOException) {
    System.err.println("skipped the classes of $path: $e")
    0
}

private fun tryLoad(name: String, loader: ClassLoader): Boolean = try {
    Class.forName(name, false, loader)
    true
} catch (_: ClassNotFoundException) {
    false
} catch (_: LinkageError) {
    // The class depends on an optional library that is not on the class path.
    false
}
