/*
 * Metrics of one process, recorded with Micrometer and exposed in the Prometheus text format.
 */
package io.guavashore.metrics

import io.guavashore.api.OrganisationId
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration

/** Metrics registry of one process. Labels hold only ids of declared objects, never values that a caller sent. */
class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Increments a counter by [by]; [labels] are pairs of name and value. */
    fun count(
        name: String,
        vararg labels: Pair<String, String>,
        by: Double = 1.0,
    ) = Counter
        .builder("guavashore.$name")
        .tags(tags(labels))
        .register(registry)
        .increment(by)

    /** Records a duration in the histogram of [organisation] and [workClass]. */
    fun time(
        name: String,
        durationMs: Long,
        organisation: OrganisationId,
        workClass: String,
    ) = Timer
        .builder("guavashore.$name")
        .tags(tags(arrayOf("organisation" to organisation.value, "class" to workClass)))
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(1))
        .maximumExpectedValue(Duration.ofMinutes(MAX_EXPECTED_MINUTES))
        .register(registry)
        .record(Duration.ofMillis(durationMs))

    /** Records a size or count in a histogram. */
    fun record(
        name: String,
        amount: Double,
        vararg labels: Pair<String, String>,
    ) = DistributionSummary
        .builder("guavashore.$name")
        .tags(tags(labels))
        .publishPercentileHistogram()
        .register(registry)
        .record(amount)

    /** Registers a gauge that calls [value] at each scrape. */
    fun gauge(
        name: String,
        value: () -> Double,
    ) {
        Gauge.builder("guavashore.$name", value).register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun tags(labels: Array<out Pair<String, String>>) =
        Tags.of(labels.map { (name, value) -> Tag.of(name, value) })

    private companion object {
        const val MAX_EXPECTED_MINUTES = 15L
    }
}
