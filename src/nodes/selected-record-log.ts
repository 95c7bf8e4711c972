/** Reads a stream from the first source that answers: entries that have read it, or the log itself. */
import { Agent } from 'node:http'
import { mayReadOutside, type PreferredSource } from '../core/fleet/record-sources.js'
import { RecordLog, type NewestRecords, type RecordPage, type StreamName } from '../types/ports.js'
import { monotonicNow, sleepUntil } from '../utils/clock.js'
import { logFor } from '../utils/log.js'
import { FedRecordLog, StaleRecordsError } from './fed-record-log.js'
import type { ReadMetrics } from './read-metrics.js'
import type { FedStream } from './record-feed.js'

const log = logFor('records')

/** Time for which a source that did not answer is not tried unless all others failed too, milliseconds; doubled for each consecutive failure of an entry up to the maximum. */
const avoidedMilliseconds = { log: 500, entry: 1000, maximum: 8000 } as const
/** Entries without an answer after which a call turns to the log: each one takes up to a second. */
const maximumUnanswered = 2
/** Delay of a read of the log for each preferred entry that has not read it either, milliseconds: when the log answers again, a few entries read it and the others read from them. */
const staleEntryMilliseconds = 50

/** Options of a selection. */
export interface SelectionOptions {
  /** This node's instance, as other nodes name it. */
  readonly instance: string
  readonly stream: FedStream
  readonly log: RecordLog
  /** Port between nodes, the same on all of them. */
  readonly internalPort: number
  /** Longest wait of one read of the log, milliseconds; nodes that read from this one learn from each read that it is current. */
  readonly logWaitMilliseconds: number
  readonly metrics: ReadMetrics
  /** Sources in the order of preference. */
  sources (): readonly PreferredSource[]
}

/** The log's records by way of the preferred source; calls throw the log's error if it was tried, otherwise that of the first source. */
export class SelectedRecordLog extends RecordLog {
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 2 })
  private readonly feeds = new Map<string, FedRecordLog>()
  /** Until when a source is avoided, milliseconds of the monotonic clock. */
  private readonly avoidedUntil = new Map<string, number>()
  /** Consecutive calls that a source did not answer. */
  private readonly failures = new Map<string, number>()
  private current = ''

  constructor (private readonly options: SelectionOptions) {
    super()
  }

  /** Name of the source that answered last: `log`, or the instance of an entry; empty before the first answer. */
  get source (): string {
    return this.current
  }

  async newest (stream: StreamName): Promise<NewestRecords> {
    return await this.tryInOrder(source => this.reach(source).newest(stream))
  }

  async read (stream: StreamName, from: number, waitUntil: number, limit: number): Promise<RecordPage> {
    return await this.tryInOrder(source => {
      const until = source.kind === 'log' ? Math.min(waitUntil, monotonicNow() + this.options.logWaitMilliseconds) : waitUntil
      return this.reach(source).read(stream, from, until, limit)
    })
  }

  async write (stream: StreamName, key: string, value: Buffer): Promise<void> {
    await this.options.log.write(stream, key, value)
  }

  private async tryInOrder<Result> (call: (source: PreferredSource) => Promise<Result>): Promise<Result> {
    const stale: StaleRecordsError[] = []
    let unanswered = 0
    let failure: unknown
    for (const source of this.choose()) {
      if (source.kind === 'entry' && unanswered >= maximumUnanswered) continue
      if (isOutside(source) && !mayReadOutside(stale)) break
      if (source.kind === 'log') await sleepUntil(monotonicNow() + stale.length * staleEntryMilliseconds)
      try {
        const result = await call(source)
        this.recordSuccess(source)
        return result
      } catch (error) {
        failure = failure === undefined || source.kind === 'log' ? error : failure
        this.recordFailure(source, error)
        if (!(error instanceof StaleRecordsError)) unanswered += 1
        else if (!isOutside(source)) stale.push(error)
      }
    }
    throw failure ?? new Error('no source of records is known')
  }

  /** Sources to try: those that have not failed lately, otherwise the one whose failure is longest ago. */
  private choose (): readonly PreferredSource[] {
    const now = monotonicNow()
    const sources = this.options.sources()
    const usable = sources.filter(source => (this.avoidedUntil.get(nameOf(source)) ?? 0) <= now)
    if (usable.length > 0) return usable
    return [...sources].sort((left, right) => (this.avoidedUntil.get(nameOf(left)) ?? 0) - (this.avoidedUntil.get(nameOf(right)) ?? 0)).slice(0, 1)
  }

  private reach (source: PreferredSource): RecordLog {
    if (source.kind === 'log') return this.options.log
    const address = `${source.ip}:${this.options.internalPort}`
    const feed = this.feeds.get(address) ?? new FedRecordLog(address, this.options.stream, this.agent, source.isSameDataCentre ? 'peer' : 'remote-peer', this.options.instance)
    this.feeds.set(address, feed)
    return feed
  }

  private recordFailure (source: PreferredSource, error: unknown): void {
    const name = nameOf(source)
    if (!(error instanceof StaleRecordsError)) {
      const failures = (this.failures.get(name) ?? 0) + 1
      this.failures.set(name, failures)
      const milliseconds = source.kind === 'log' ? avoidedMilliseconds.log : Math.min(avoidedMilliseconds.maximum, avoidedMilliseconds.entry * 2 ** (failures - 1))
      this.avoidedUntil.set(name, monotonicNow() + milliseconds)
    }
    if (source.kind === 'log') return
    this.options.metrics.countFailure(source.isSameDataCentre ? 'peer' : 'remote-peer', error)
    if (this.current === name) log.warn('an entry does not deliver records; trying the next source', { stream: this.options.stream, source: name, reason: String(error) })
  }

  private recordSuccess (source: PreferredSource): void {
    const name = nameOf(source)
    this.failures.delete(name)
    if (name === this.current) return
    log.info('records are read from another source', { stream: this.options.stream, source: name, before: this.current })
    this.current = name
  }
}

function isOutside (source: PreferredSource): boolean {
  return source.kind === 'log' || !source.isSameDataCentre
}

function nameOf (source: PreferredSource): string {
  return source.kind === 'log' ? 'log' : source.instance
}
