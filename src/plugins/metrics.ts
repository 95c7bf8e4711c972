/** Metrics of a node: counters, gauges and histograms in the Prometheus text format. */
import { build, type Histogram } from 'hdr-histogram-js'

/** Labels of one series, by name. */
export type Labels = Readonly<Record<string, string>>

const quantiles = [50, 90, 95, 99, 99.9] as const
/** Largest value that histograms distinguish; larger ones are recorded as this one. */
const maximumMicroseconds = 600_000_000

/** All series of a node; their names end in the unit and get the prefix `pollendyke_`. */
export class Metrics {
  private readonly values = new Map<string, number>()
  private readonly histograms = new Map<string, Histogram>()

  /** Adds to a counter, such as `requests_total`. */
  count (name: string, labels: Labels = {}, by = 1): void {
    const series = seriesOf(name, labels)
    this.values.set(series, (this.values.get(series) ?? 0) + by)
  }

  /** Sets a gauge, such as `in_flight_requests`. */
  set (name: string, labels: Labels, value: number): void {
    this.values.set(seriesOf(name, labels), value)
  }

  /** Records a duration in milliseconds in a histogram, such as `first_byte_milliseconds`. */
  observe (name: string, labels: Labels, milliseconds: number): void {
    const series = seriesOf(name, labels)
    const histogram = this.histograms.get(series) ?? this.addHistogram(series)
    histogram.recordValue(Math.min(maximumMicroseconds, Math.max(1, Math.round(milliseconds * 1000))))
  }

  /** Value of a counter or gauge; 0 if it was never set. */
  valueOf (name: string, labels: Labels = {}): number {
    return this.values.get(seriesOf(name, labels)) ?? 0
  }

  /** Renders all series, one line each; histograms as quantiles in milliseconds and a count. */
  render (): string {
    const lines = [...this.values].map(([series, value]) => `${series} ${value}`)
    for (const [series, histogram] of this.histograms) lines.push(...renderHistogram(series, histogram))
    return `${lines.sort().join('\n')}\n`
  }

  private addHistogram (series: string): Histogram {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: maximumMicroseconds, numberOfSignificantValueDigits: 2 })
    this.histograms.set(series, histogram)
    return histogram
  }
}

function seriesOf (name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${value.replaceAll(/["\\\n]/g, '_')}"`)
  return `pollendyke_${name}${pairs.length === 0 ? '' : `{${pairs.join(',')}}`}`
}

function renderHistogram (series: string, histogram: Histogram): readonly string[] {
  const [, name = series, labels = ''] = /^([^{]+)(?:\{(.*)\})?$/.exec(series) ?? []
  const prefix = labels === '' ? '' : `${labels},`
  const lines = quantiles.map(quantile => `${name}{${prefix}quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile) / 1000}`)
  return [...lines, `${name}_count${labels === '' ? '' : `{${labels}}`} ${histogram.totalCount}`]
}
