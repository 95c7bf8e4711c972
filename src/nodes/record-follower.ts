/** Follows a stream of keyed records in the log, and accepts records from peers while the log cannot be read. */
import { nextRead, readAfterNewest, type NextRead } from '../core/record-reads.js'
import { Metrics } from '../plugins/metrics.js'
import type { KeyedRecord, ReadRecords, RecordLog, RecordRead, StreamName } from '../types/ports.js'
import { sleepUntil, monotonicNow } from '../utils/clock.js'
import { logFor } from '../utils/log.js'
import { ReadMetrics, transferMilliseconds } from './read-metrics.js'
import { RemovalCoverage } from './removal-coverage.js'

const log = logFor('records')

/**
 * Pace of a follower's reads, milliseconds. `pause` is the minimum time between the starts of two reads, so that a busy stream
 * is read in batches; it is left out while records are known to follow. `wait` is the maximum time that one read waits for
 * a record, after which an unresponsive connection is abandoned.
 */
export interface ReadPace { readonly pause: number, readonly wait: number }
/** Base and maximum pause after failed reads, milliseconds; the base is doubled for each consecutive failure. */
const retryMilliseconds = { first: 200, maximum: 1000 } as const

/** Receives each record that is newer than the last one of its key. */
export interface RecordListener {
  /** `isFirst` marks records that were found by the first read, whose age is unknown; `read` is the read that it came with. */
  record (record: KeyedRecord, isFirst: boolean, read: RecordRead): void
  /** A read was answered, by the log or by a node to which the log confirmed `at` (milliseconds of the monotonic clock) that it had read everything; called before the records of that read. */
  confirmed (at: number): void
}

/** Time within which a connected follower must have read the records that another one has read; longer counts as lagging. */
const readLagMilliseconds = 700

/** Whether a follower lacks records before `next` that another has read and does not get them from the log; `now` in milliseconds of the monotonic clock. */
export function isLagging (state: FollowerState, next: number, now: number): boolean {
  return next > state.next && (!state.isConnected || now - state.confirmedAt > readLagMilliseconds)
}

/** State of a follower, for logs and peers. */
export interface FollowerState {
  /** Offset of the next record to read; -1 before the first read. */
  readonly next: number
  readonly isConnected: boolean
  /** Time at which the log last confirmed that all its records had been read, milliseconds of the monotonic clock; the follower's start before that. */
  readonly confirmedAt: number
}

/** Reader of one stream that holds the newest record of each key. */
export class RecordFollower {
  private readonly newestByKey = new Map<string, KeyedRecord>()
  private next = -1
  private highestOffset = -1
  private readonly removals = new RemovalCoverage()
  private planned: NextRead = { kind: 'newest', isDue: true }
  private unreachableSince: number | undefined
  private isStopped = false
  private failures = 0
  private confirmedAt = monotonicNow()
  private readonly waiting = new Set<() => void>()
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
    return { next: this.next, isConnected: this.unreachableSince === undefined, confirmedAt: this.confirmedAt }
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
        const ageMilliseconds = this.planned.kind === 'newest' ? await this.readAll() : await this.readNext(this.planned.limit)
        this.recordSuccess(ageMilliseconds)
        if (!this.planned.isDue) await sleepUntil(readAt + this.pace.pause)
      } catch (error) {
        this.recordFailure(error)
        await sleepUntil(monotonicNow() + Math.min(retryMilliseconds.maximum, retryMilliseconds.first * 2 ** Math.min(this.failures, 8)))
      }
    }
  }

  stop (): void {
    this.isStopped = true
  }

  /** Whether the follower has a record at or after an offset; any record will do for -1, before which nothing was read. */
  hasRecordsFrom (offset: number): boolean {
    return this.next >= 0 && (offset < 0 || this.highestOffset >= offset)
  }

  /** Whether a node that has read up to an offset (-1 for nothing) learns of all removals since from this one. */
  knowsRemovalsFrom (offset: number): boolean {
    return offset < 0 || this.removals.isComplete(offset)
  }

  /** Resolves after the next read, whether or not it brought records, or at `deadline`, milliseconds of the monotonic clock. */
  waitForRead (deadline: number): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, Math.max(0, deadline - monotonicNow()))
      this.waiting.add(finish)
    })
  }

  /**
   * Applies what a peer has read from the offset `from` on, -1 for everything: the newest record of each key. Older records than
   * those known are ignored.
   */
  receiveRecords (read: ReadRecords, from: number): void {
    this.metrics.countRead(read.source ?? 'peer', 'newest', read.cost)
    if (read.ageMilliseconds !== undefined) this.reportConfirmed(read)
    this.applyAll(read, this.newestByKey.size === 0)
    if (from < 0) this.removeMissing(read)
    if (from <= this.next) this.advanceAsNewest(read.next)
    this.wakeWaiting()
  }

  /** Counts a fetch from a peer that failed. */
  countPeerFailure (error: unknown): void {
    this.metrics.countFailure('peer', error)
  }

  /** Reads the newest record of each key; returns the age of what was read, milliseconds. */
  private async readAll (): Promise<number> {
    const read = await this.records.newest(this.stream)
    const { records, next, cost, source = 'log' } = read
    this.metrics.countRead(source, 'newest', cost)
    this.reportConfirmed(read)
    this.applyAll(read, this.newestByKey.size === 0)
    this.removeMissing(read)
    this.advanceAsNewest(next)
    this.planned = readAfterNewest(this.largestHeld)
    log.info('read the newest record of each key', { stream: this.stream, source, records: records.length, next, bytes: cost.bytes, readMilliseconds: Math.round(transferMilliseconds(cost)) })
    return read.ageMilliseconds ?? 0
  }

  private reportConfirmed ({ ageMilliseconds = 0 }: ReadRecords): void {
    if (Number.isFinite(ageMilliseconds)) this.listener.confirmed(monotonicNow() - ageMilliseconds)
  }

  private applyAll ({ records, cost, source = 'log' }: ReadRecords, isFirst: boolean): void {
    for (const record of records) this.apply(record, isFirst, { source, cost })
  }

  /** Removes the keys that are not among the newest records of all keys. */
  private removeMissing ({ records, next, cost, source = 'log' }: ReadRecords): void {
    const present = new Set(records.map(record => record.key))
    for (const key of [...this.newestByKey.keys()].filter(key => !present.has(key))) this.applyRemoval(key, next, { source, cost })
  }

  /** Advances to `next` after a read that left out superseded records. */
  private advanceAsNewest (next: number): void {
    if (next <= this.next) return
    this.removals.recordNewest(this.next, next)
    this.next = next
  }

  /** Reports a key that the log no longer holds as removed at the offset before `next`. */
  private applyRemoval (key: string, next: number, read: RecordRead): void {
    const record = this.newestByKey.get(key)
    if (record !== undefined && record.value !== undefined && record.offset < next) this.apply({ key, value: undefined, offset: next - 1 }, false, read)
  }

  private async readNext (limit: number): Promise<number> {
    const page = await this.records.read(this.stream, this.next, monotonicNow() + this.pace.wait, limit)
    if (page.kind === 'expired') {
      this.metrics.countExpired()
      log.warn('records expired before they were read; reading the newest record of each key', { stream: this.stream, next: this.next })
      this.next = -1
      this.planned = { kind: 'newest', isDue: true }
      return await this.readAll()
    }
    this.metrics.countRead(page.source ?? 'log', page.records.length === 0 ? 'empty' : 'records', page.cost)
    this.reportConfirmed(page)
    this.applyAll(page, false)
    if ((page.source ?? 'log') === 'log') this.next = Math.max(this.next, page.next)
    else this.advanceAsNewest(page.next)
    // Records that follow a page without any cannot be read now.
    const unread = page.records.length === 0 ? 0 : Math.max(0, page.end - this.next)
    this.planned = nextRead({ unread, limit, largestRead: largestValue(page.records), largestHeld: this.largestHeld })
    if (this.planned.kind === 'newest') log.info('behind large records; reading the newest record of each key instead', { stream: this.stream, next: this.next, unread })
    return page.ageMilliseconds ?? 0
  }

  private get largestHeld (): number {
    return largestValue(this.newestByKey.values())
  }

  private apply (record: KeyedRecord, isFirst: boolean, read: RecordRead): void {
    const known = this.newestByKey.get(record.key)
    if (known !== undefined && known.offset >= record.offset) return
    this.newestByKey.set(record.key, record)
    this.highestOffset = Math.max(this.highestOffset, record.offset)
    this.listener.record(record, isFirst, read)
  }

  private recordSuccess (ageMilliseconds: number): void {
    this.failures = 0
    this.confirmedAt = Math.max(this.confirmedAt, monotonicNow() - ageMilliseconds)
    this.wakeWaiting()
    if (this.unreachableSince === undefined) return
    log.info('the log answers again', { stream: this.stream, lostMilliseconds: Math.round(monotonicNow() - this.unreachableSince), next: this.next })
    this.unreachableSince = undefined
  }

  private wakeWaiting (): void {
    for (const wake of [...this.waiting]) wake()
  }

  private recordFailure (error: unknown): void {
    this.failures += 1
    this.metrics.countFailure('log', error)
    if (this.unreachableSince !== undefined) return
    this.unreachableSince = monotonicNow()
    log.warn('the log does not answer; continuing with the records read so far', { stream: this.stream, next: this.next, reason: String(error) })
  }
}

/** Size of the largest value, bytes; 0 for none. */
function largestValue (records: Iterable<KeyedRecord>): number {
  let largest = 0
  for (const { value } of records) largest = Math.max(largest, value?.length ?? 0)
  return largest
}
