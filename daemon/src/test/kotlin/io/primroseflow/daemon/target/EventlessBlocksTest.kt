package io.primroseflow.daemon.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class EventlessBlocksTest :
    DescribeSpec({
        // ORDER: a block without data is no event, so that it neither needs nor lacks an id.
        it("a sound resumption may start with a reconnection time") {
            val bytes = "retry: 1000\n\nid: 3\ndata: e3\n\n".toByteArray()
            val splitter = EventSplitter(resumesAfter = "2")
            splitter.add(bytes, bytes.size)
            splitter.lastId shouldBe "3"
        }

        it("a stream of which only a reconnection time was forwarded can be begun anew") {
            val bytes = "retry: 1000\n\n".toByteArray()
            val splitter = EventSplitter()
            splitter.add(bytes, bytes.size)
            splitter.lacksIds shouldBe false
        }

        // ORDER: what follows the last event with an id would be sent once more.
        it("a stream whose last event has no id cannot be resumed without a repetition") {
            val bytes = "id: 1\ndata: e1\n\ndata: e2\n\n".toByteArray()
            val splitter = EventSplitter()
            splitter.add(bytes, bytes.size)
            splitter.lacksIds shouldBe true
        }
    })
