/*
 * Metrics of one process, by Micrometer, in Prometheus' text form.
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

/** Registry of one process. Labels are ids of declared things only, never anything that a caller sent. */
class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Counts one event; [labels] are pairs of name and value. */
    fun count(
        name: String,
        vararg labels: Pair<String, String>,
        by: Double = 1.0,
    ) = Counter
        .builder("guavashore.$name")
        .tags(tags(labels))
        .register(registry)
        .increment(by)

    /** Records a duration in the histogram of its organisation and class. */
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
        .maximumExpectedValue(Duration.ofMinutes(LONGEST_MIN))
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

    /** Shows what [value] returns at each scrape. */
    fun gauge(
        name: String,
        value: () -> Double,
    ) {
        Gauge.builder("guavashore.$name", value).register(registry)
    }

    /** All metrics in Prometheus' text form. */
    fun scrape(): String = registry.scrape()

    private fun tags(labels: Array<out Pair<String, String>>) =
        Tags.of(labels.map { (name, value) -> Tag.of(name, value) })

    private companion object {
        const val LONGEST_MIN = 15L
    }
}
