package io.primroseflow.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.message.Message
import org.apache.logging.log4j.message.SimpleMessage
import org.apache.logging.log4j.message.StringMapMessage

private fun line(message: Message, thrown: Throwable? = null): String =
    EventLineLayout(null).toSerializable(
        Log4jLogEvent.newBuilder().setLoggerName("entry").setLevel(Level.WARN)
            .setMessage(message).setThrown(thrown).build()
    )

private fun JsonElement.text(name: String) = jsonObject.getValue(name).jsonPrimitive.content

class EventLineLayoutTest :
    DescribeSpec({
        describe("a line of the log") {
            it("is a JSON object with the fields of the event") {
                val message = StringMapMessage().with(
                    "event",
                    "host_silent"
                ).with("peer", "10.0.0.1")
                val text = line(message)
                text shouldEndWith "\n"
                val parsed = Json.parseToJsonElement(text).jsonObject
                parsed.keys shouldBe setOf("at", "level", "source", "message")
                parsed.text("level") shouldBe "WARN"
                parsed.text("source") shouldBe "entry"
                parsed.getValue("message").text("event") shouldBe "host_silent"
                parsed.getValue("message").text("peer") shouldBe "10.0.0.1"
            }

            it("stays one JSON object, whatever the values contain") {
                val value = "a \"quoted\"\\ value\nwith\u0001 control characters and \u2028 ü"
                val text = line(StringMapMessage().with("event", value).with(value, "x"))
                text.count { it == '\n' } shouldBe 1
                Json.parseToJsonElement(text).jsonObject.getValue("message")
                    .text("event") shouldBe value
            }

            it("contains a plain message and its exception") {
                val text = line(SimpleMessage("failed"), IllegalStateException("why"))
                val parsed = Json.parseToJsonElement(text).jsonObject
                parsed.text("message") shouldBe "failed"
                parsed.text("thrown") shouldContain "IllegalStateException: why"
            }
        }
    })
