/** Follows a stream of keyed records in the log, and accepts records from peers while the log cannot be read. */
import { Metrics } from '../plugins/metrics.js'
import type { KeyedRecord, ReadCost, RecordLog, RecordRead, StreamName } from '../types/ports.js'
import { sleepUntil, monotonicNow } from '../utils/clock.js'
import { logFor } from '../utils/log.js'
import { ReadMetrics, transferMilliseconds } from './read-metrics.js'

const log = logFor('records')

/**
 * Pace of a follower's reads, milliseconds. `pause` is the minimum time between the starts of two reads, so that a busy stream
 * is read in batches. `wait` is the maximum duration of one read, after which an unresponsive connection is abandoned.
 */
export interface ReadPace { readonly pause: number, readonly wait: number }
/** Base and maximum pause after failed reads, milliseconds; the base is doubled for each consecutive failure. */
const retryMilliseconds = { first: 200, maximum: 1000 } as const

/** Receives each record that is newer than the last one of its key. */
export interface RecordListener {
  /** `isFirst` marks records that were found by the first read, whose age is unknown; `read` is the read that it came with. */
  record (record: KeyedRecord, isFirst: boolean, read: RecordRead): void
  /** The log, unreachable since `unreachableSince` (milliseconds of the monotonic clock), answers again; called only if it had been read before. */
  onLogRecovered (unreachableSince: number): void
}

/** Time within which a connected follower must have read the records that another one has read; longer counts as lagging. */
const readLagMilliseconds = 700

/** Whether a follower lacks records before `next` that another has read and does not get them from the log; `now` in milliseconds of the monotonic clock. */
export function isLagging (state: FollowerState, next: number, now: number): boolean {
  return next > state.next && (!state.isConnected || now - state.readAt > readLagMilliseconds)
}

/** State of a follower, for logs and peers. */
export interface FollowerState {
  /** Offset of the next record to read; -1 before the first read. */
  readonly next: number
  readonly isConnected: boolean
  /** Time of the last answer, milliseconds of the monotonic clock. */
  readonly readAt: number
}

/** Reader of one stream that holds the newest record of each key. */
export class RecordFollower {
  private readonly newestByKey = new Map<string, KeyedRecord>()
  private next = -1
  private unreachableSince: number | undefined
  private isStopped = false
  private failures = 0
  private readAt = 0
  /** Whether the log had been read before it became unreachable; a process that has just started has no records that could lapse. */
  private hadRecordsWhenLost = false
  private readonly metrics: ReadMetrics

  constructor (
    private readonly records: RecordLog,
    private readonly stream: StreamName,
    private readonly pace: ReadPace,
    private readonly listener: RecordListener,
    metrics = new Metrics()
  ) {
    this.metrics = new ReadMetrics(metrics, stream)
  }

  get state (): FollowerState {
    return { next: this.next, isConnected: this.unreachableSince === undefined, readAt: this.readAt }
  }

  /** Newest record of each key, including removed keys. */
  get newest (): readonly KeyedRecord[] {
    return [...this.newestByKey.values()]
  }

  /** Reads the stream until `stop`; failed reads are retried. */
  async run (): Promise<void> {
    while (!this.isStopped) {
      const readAt = monotonicNow()
      try {
        if (this.next < 0) await this.readAll()
        else await this.readNext()
        this.recordSuccess()
        await sleepUntil(readAt + this.pace.pause)
      } catch (error) {
        this.recordFailure(error)
        await sleepUntil(monotonicNow() + Math.min(retryMilliseconds.maximum, retryMilliseconds.first * 2 ** Math.min(this.failures, 8)))
      }
    }
  }

  stop (): void {
    this.isStopped = true
  }

  /** Applies records of a peer; older ones than those known are ignored. */
  receiveRecords (records: readonly KeyedRecord[], cost: ReadCost): void {
    this.metrics.countRead('peer', 'newest', cost)
    for (const record of records) this.apply(record, false, { source: 'peer', cost })
  }

  /** Counts a fetch from a peer that failed. */
  countPeerFailure (error: unknown): void {
    this.metrics.countFailure('peer', error)
  }

  private async readAll (): Promise<void> {
    const { records, next, cost } = await this.records.newest(this.stream)
    const read = { source: 'log', cost } as const
    this.metrics.countRead('log', 'newest', cost)
    const isFirst = this.newestByKey.size === 0
    const present = new Set(records.map(record => record.key))
    for (const record of records) this.apply(record, isFirst, read)
    for (const key of [...this.newestByKey.keys()].filter(key => !present.has(key))) this.applyRemoval(key, next, read)
    this.next = next
    log.info('read the newest record of each key', { stream: this.stream, records: records.length, next, bytes: cost.bytes, readMilliseconds: Math.round(transferMilliseconds(cost)) })
  }

  /** Reports a key that the log no longer holds as removed at the offset before `next`. */
  private applyRemoval (key: string, next: number, read: RecordRead): void {
    const record = this.newestByKey.get(key)
    if (record !== undefined && record.value !== undefined && record.offset < next) this.apply({ key, value: undefined, offset: next - 1 }, false, read)
  }

  private async readNext (): Promise<void> {
    const page = await this.records.read(this.stream, this.next, monotonicNow() + this.pace.wait)
    if (page.kind === 'expired') {
      this.metrics.countExpired()
      log.warn('records expired before they were read; reading the newest record of each key', { stream: this.stream, next: this.next })
      this.next = -1
      await this.readAll()
      return
    }
    this.metrics.countRead('log', page.records.length === 0 ? 'empty' : 'records', page.cost)
    for (const record of page.records) this.apply(record, false, { source: 'log', cost: page.cost })
    this.next = page.next
  }

  private apply (record: KeyedRecord, isFirst: boolean, read: RecordRead): void {
    const known = this.newestByKey.get(record.key)
    if (known !== undefined && known.offset >= record.offset) return
    this.newestByKey.set(record.key, record)
    this.listener.record(record, isFirst, read)
  }

  private recordSuccess (): void {
    this.failures = 0
    this.readAt = monotonicNow()
    if (this.unreachableSince === undefined) return
    log.info('the log answers again', { stream: this.stream, lostMilliseconds: Math.round(monotonicNow() - this.unreachableSince), next: this.next })
    const unreachableSince = this.unreachableSince
    this.unreachableSince = undefined
    if (this.hadRecordsWhenLost) this.listener.onLogRecovered(unreachableSince)
  }

  private recordFailure (error: unknown): void {
    this.failures += 1
    this.metrics.countFailure('log', error)
    if (this.unreachableSince !== undefined) return
    this.unreachableSince = monotonicNow()
    this.hadRecordsWhenLost = this.next >= 0
    log.warn('the log does not answer; continuing with the records read so far', { stream: this.stream, next: this.next, reason: String(error) })
  }
}
