package io.primroseflow.daemon

import java.io.IOException
import java.nio.file.Path
import java.util.jar.JarFile
import kotlin.io.path.isRegularFile
import kotlin.streams.asSequence

private const val CLASS_SUFFIX = ".class"

/**
 * Loads the classes of the archives that hold [samples], so that the first requests do not wait
 * for them and no two tasks read the archives at the same time.
 *
 * @return the number of classes that were loaded; 0 when they do not come from archives
 */
internal fun preloadClasses(vararg samples: Class<*>): Int = samples
    .mapNotNull { it.protectionDomain.codeSource?.location?.toURI()?.let(Path::of) }
    .distinct()
    .filter { it.isRegularFile() }
    .sumOf { preloadArchive(it, samples.first().classLoader) }

private fun preloadArchive(archive: Path, loader: ClassLoader): Int = try {
    JarFile(archive.toFile()).use { jar ->
        jar.stream().asSequence()
            .map { it.name }
            .filter { it.endsWith(CLASS_SUFFIX) && "META-INF" !in it && "module-info" !in it }
            .count { isLoaded(it.removeSuffix(CLASS_SUFFIX).replace('/', '.'), loader) }
    }
} catch (_: IOException) {
    // Without the archive the classes are loaded when they are needed, or their lack is an error.
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
