package io.primroseflow.daemon.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldContain
import io.primroseflow.daemon.operator.MetricPage
import io.primroseflow.fleet.AdmissionEvent
import io.primroseflow.fleet.AdmissionStatus
import io.primroseflow.fleet.RankShare
import io.primroseflow.fleet.SlotRefusal

class AdmissionMetricsTest :
    DescribeSpec({
        // An operator could not tell which ranks a shortage costs.
        it("tell grants, refusals and shares by rank") {
            val status = AdmissionStatus(
                events = mapOf(2 to mapOf(AdmissionEvent.PlaceUsed to 7L)),
                refusals = mapOf(2 to mapOf(SlotRefusal.TooLate to 9L)),
                shares = mapOf(2 to RankShare(inTime = 0.5, served = 0.75))
            )
            val page = MetricPage().apply { addAdmission { status } }.render().decodeToString()
            page shouldContain """admission_events_total{event="PlaceUsed",rank="2"} 7.0"""
            page shouldContain """refusals_total{rank="2",reason="TooLate"} 9.0"""
            page shouldContain """in_time_share{rank="2"} 0.5"""
            page shouldContain """served_share{rank="2"} 0.75"""
        }
    })
