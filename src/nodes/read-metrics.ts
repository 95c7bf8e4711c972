/** Counts and durations of the reads of one stream of records, by source. */
import type { Metrics } from '../plugins/metrics.js'
import { HttpCallError } from '../transports/http-call.js'
import type { ReadCost, RecordSource, StreamName } from '../types/ports.js'

/** Result of a read: `newest` for the newest record of each key, `records` and `empty` for what follows an offset. */
export type ReadResult = 'newest' | 'records' | 'empty' | 'expired' | 'failed'

/** Time from the first byte of a read to its last, milliseconds: without the wait for a record to be written. */
export function transferMilliseconds (cost: ReadCost): number {
  return cost.milliseconds - cost.firstByteMilliseconds
}

/** Metrics of the reads of one stream. */
export class ReadMetrics {
  constructor (private readonly metrics: Metrics, private readonly stream: StreamName) {}

  countRead (source: RecordSource, result: ReadResult, cost: ReadCost): void {
    const { stream } = this
    this.metrics.count('records_reads_total', { stream, source, result })
    this.metrics.count('records_bytes_total', { stream, source }, cost.bytes)
    this.metrics.count('records_superseded_total', { stream }, cost.superseded)
    this.metrics.observe('records_read_milliseconds', { stream, source }, transferMilliseconds(cost))
  }

  /** Counts records that the log no longer retains. */
  countExpired (): void {
    this.metrics.count('records_reads_total', { stream: this.stream, source: 'log', result: 'expired' })
  }

  /** Counts that the log came back from an older copy. */
  countNewEra (): void {
    this.metrics.count('records_new_eras_total', { stream: this.stream })
  }

  /** Counts a read without a complete answer, and what had arrived of it. */
  countFailure (source: RecordSource, error: unknown): void {
    const { stream } = this
    this.metrics.count('records_reads_total', { stream, source, result: 'failed' })
    if (error instanceof HttpCallError) this.metrics.count('records_bytes_total', { stream, source }, error.receivedBytes)
  }
}
