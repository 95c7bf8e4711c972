/** Follows a stream of keyed records in the log, and passes records on between nodes that the log turns away. */
import type { KeyedRecord, RecordLog, StreamName } from '../types/ports.js'
import { sleepUntil, monotonicNow } from '../utils/clock.js'
import { logFor } from '../utils/log.js'

const log = logFor('records')

/**
 * Pace of a follower's reads, milliseconds. `pause` is the least time between two reads: a busy stream is read in
 * batches. `wait` is the longest wait of one read: a connection that has gone silent is given up after that.
 */
export interface ReadPace { readonly pause: number, readonly wait: number }
/** First and longest pause after a failed call, milliseconds. */
const retryMilliseconds = { first: 200, most: 1000 } as const

/** Told of each record that is newer than what was known of its key. */
export interface RecordListener {
  /** `isFirst` marks records that were found at the start, whose age is unknown. */
  record (record: KeyedRecord, isFirst: boolean): void
  /** The log answers again after `lostAt`, steady milliseconds, and records were known before. */
  onLogRecovered (lostAt: number): void
}

/** Time in which a follower reads what another has read, milliseconds. */
const readLagMilliseconds = 700

/** Whether a follower lacks records that another has read up to `next`, and does not get them from the log. */
export function isLagging (state: FollowerState, next: number, now: number): boolean {
  return next > state.next && (!state.isConnected || now - state.readAt > readLagMilliseconds)
}

/** State of a follower, for logs and peers. */
export interface FollowerState {
  /** Offset from which it reads on; -1 before the first page. */
  readonly next: number
  readonly isConnected: boolean
  /** Steady milliseconds of the last answer. */
  readonly readAt: number
}

/** One followed stream. */
export class RecordFollower {
  private readonly newestByKey = new Map<string, KeyedRecord>()
  private next = -1
  private unreachableSince: number | undefined
  private isStopped = false
  private failures = 0
  private readAt = 0
  /** Whether records were known when the log was lost: a process that has just started has none that can lapse. */
  private hadRecordsWhenLost = false

  constructor (
    private readonly records: RecordLog,
    private readonly stream: StreamName,
    private readonly pace: ReadPace,
    private readonly listener: RecordListener
  ) {}

  get state (): FollowerState {
    return { next: this.next, isConnected: this.unreachableSince === undefined, readAt: this.readAt }
  }

  /** Newest record of each key, also of dropped ones. */
  get newest (): readonly KeyedRecord[] {
    return [...this.newestByKey.values()]
  }

  /** Reads until stopped. */
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
        await sleepUntil(monotonicNow() + Math.min(retryMilliseconds.most, retryMilliseconds.first * 2 ** Math.min(this.failures, 8)))
      }
    }
  }

  stop (): void {
    this.isStopped = true
  }

  /** Takes records that a peer holds. */
  receiveRecords (records: readonly KeyedRecord[]): void {
    for (const record of records) this.apply(record, false)
  }

  private async readAll (): Promise<void> {
    const { records, next } = await this.records.newest(this.stream)
    const isFirst = this.newestByKey.size === 0
    const present = new Set(records.map(record => record.key))
    for (const record of records) this.apply(record, isFirst)
    for (const key of [...this.newestByKey.keys()].filter(key => !present.has(key))) this.applyRemoval(key, next)
    this.next = next
    log.info('the newest records were read', { stream: this.stream, records: records.length, next })
  }

  /** A key that the log no longer has was dropped while nobody read. */
  private applyRemoval (key: string, next: number): void {
    const record = this.newestByKey.get(key)
    if (record !== undefined && record.value !== undefined && record.offset < next) this.apply({ key, value: undefined, offset: next - 1 }, false)
  }

  private async readNext (): Promise<void> {
    const page = await this.records.read(this.stream, this.next, monotonicNow() + this.pace.wait)
    if (page.kind === 'expired') {
      log.warn('records expired before they were read; reading the newest of each key', { stream: this.stream, next: this.next })
      this.next = -1
      await this.readAll()
      return
    }
    for (const record of page.records) this.apply(record, false)
    this.next = page.next
  }

  private apply (record: KeyedRecord, isFirst: boolean): void {
    const known = this.newestByKey.get(record.key)
    if (known !== undefined && known.offset >= record.offset) return
    this.newestByKey.set(record.key, record)
    this.listener.record(record, isFirst)
  }

  private recordSuccess (): void {
    this.failures = 0
    this.readAt = monotonicNow()
    if (this.unreachableSince === undefined) return
    log.info('the log answers again', { stream: this.stream, lostMilliseconds: Math.round(monotonicNow() - this.unreachableSince), next: this.next })
    const lostAt = this.unreachableSince
    this.unreachableSince = undefined
    if (this.hadRecordsWhenLost) this.listener.onLogRecovered(lostAt)
  }

  private recordFailure (error: unknown): void {
    this.failures += 1
    if (this.unreachableSince !== undefined) return
    this.unreachableSince = monotonicNow()
    this.hadRecordsWhenLost = this.next >= 0
    log.warn('the log does not answer; going on with what is known', { stream: this.stream, next: this.next, reason: String(error) })
  }
}
