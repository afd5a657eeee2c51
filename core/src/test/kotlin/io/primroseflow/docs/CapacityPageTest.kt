package io.primroseflow.docs

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

private val root: Path = Path.of(System.getProperty("project.root"))

private val measurementPattern = Regex("docs/measurements/[A-Za-z0-9._-]*[A-Za-z0-9]")

private fun citedIn(page: String): List<String> =
    measurementPattern.findAll(root.resolve(page).readText()).map { it.value }.toList()

class CapacityPageTest :
    DescribeSpec({
        describe("docs/CAPACITY.md") {
            it("cites measurement files, all of which exist") {
                val cited = citedIn("docs/CAPACITY.md")
                cited.shouldNotBeEmpty()
                cited.filterNot { root.resolve(it).exists() }.shouldBeEmpty()
            }
        }
    })
