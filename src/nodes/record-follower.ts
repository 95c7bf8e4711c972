/** Follows a stream of keyed records in the log, and accepts records from peers while the log cannot be read. */
import { lostRetentions } from '../core/fleet/record-lapse.js'
import { beforeLog, formatPosition, isBefore, isInLog, laterOf, type LogPosition } from '../core/log-position.js'
import type { EraReport } from '../core/stream-eras.js'
import { RecordMerge, type MergedRead } from '../core/record-merge.js'
import { nextRead, readAfterNewest, type NextRead } from '../core/record-reads.js'
import { Metrics } from '../plugins/metrics.js'
import type { KeyedRecord, ReadCost, ReadRecords, RecordLog, RecordRead, StreamName } from '../types/ports.js'
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

/** Size up to which the records of a new era are read for comparison, bytes: above that they would delay the reads that follow. */
const maximumComparedBytes = 1 << 20

/** Receives each record that is newer than the last one of its key. */
export interface RecordListener {
  /** `isFirst` marks records that were found by the first read, whose age is unknown; `read` is the read that it came with. */
  record (record: KeyedRecord, isFirst: boolean, read: RecordRead): void
  /** A read was answered, by the log or by a node to which the log confirmed `at` (milliseconds of the monotonic clock) that it had read everything; called before the records of that read. */
  confirmed (at: number): void
  /** The stream was first read in this era: what this node wrote in an earlier one may be lost. */
  eraRead? (era: number): void
}

/** Time within which a connected follower must have read the records that another one has read; longer counts as lagging. */
const readLagMilliseconds = 700

/** Whether a follower lacks records before `next` that another has read and does not get them from the log; `now` in milliseconds of the monotonic clock. */
export function isLagging (state: FollowerState, next: LogPosition, now: number): boolean {
  return isBefore(state.next, next) && (!state.isConnected || now - state.confirmedAt > readLagMilliseconds)
}

/** State of a follower, for logs and peers. */
export interface FollowerState {
  /** Position of the next record to read; `beforeLog` before the first read. */
  readonly next: LogPosition
  readonly isConnected: boolean
  /** Time at which the log last confirmed that all its records had been read, milliseconds of the monotonic clock; the follower's start before that. */
  readonly confirmedAt: number
}

/** Reader of one stream that holds the newest record of each key. */
export class RecordFollower {
  private readonly merge: RecordMerge
  private next = beforeLog
  private highest = beforeLog
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
    this.merge = new RecordMerge(lostRetentions[stream])
  }

  get state (): FollowerState {
    return { next: this.next, isConnected: this.unreachableSince === undefined, confirmedAt: this.confirmedAt }
  }

  /** Newest record of each key, including removed keys, and those of an earlier era that are held; see `RecordMerge`. */
  get newest (): readonly KeyedRecord[] {
    return this.merge.records
  }

  /** Number of changes of `newest` and of `eras` so far. */
  get revision (): number {
    return this.merge.revision
  }

  /** What other nodes should know of the era in which this follower reads; undefined while it knows of no earlier one. */
  get eras (): EraReport | undefined {
    return this.merge.report(monotonicNow())
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

  /** Whether the follower has a record at or after a position; any record will do for `beforeLog`. */
  hasRecordsFrom (position: LogPosition): boolean {
    return isInLog(this.next) && (!isInLog(position) || !isBefore(this.highest, position))
  }

  /** Whether a node that has read up to a position learns of all removals since from this one: not across eras. */
  knowsRemovalsFrom (position: LogPosition): boolean {
    if (!isInLog(position) || position.era > this.next.era) return true
    return position.era === this.next.era && this.removals.isComplete(position.offset)
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
   * Applies what a peer has read from the position `from` on, `beforeLog` for everything: the newest record of each key. Older
   * records than those known are ignored, and so is what was read in an earlier era.
   */
  receiveRecords (read: ReadRecords, from: LogPosition): void {
    this.metrics.countRead(read.source ?? 'peer', 'newest', read.cost)
    const isEverything = !isInLog(from)
    if (read.next.era < this.next.era || (!isEverything && read.next.era !== this.next.era)) return
    if (read.ageMilliseconds !== undefined) this.reportConfirmed(read)
    if (isEverything) this.applyEverything(read)
    else {
      this.applyAll(read, 'following')
      if (!isBefore(this.next, from)) this.advanceAsNewest(read.next)
    }
    this.wakeWaiting()
  }

  /** Takes what another node knows of eras; it may know of one that this follower has not read yet. */
  learnEras (eras: EraReport): void {
    const changed = this.merge.learn(eras, monotonicNow())
    for (const record of changed) this.listener.record(record, false, { source: 'peer', cost: noCost })
  }

  /** Counts a fetch from a peer that failed. */
  countPeerFailure (error: unknown): void {
    this.metrics.countFailure('peer', error)
  }

  /** Reads the newest record of each key; returns the age of what was read, milliseconds. */
  private async readAll (): Promise<number> {
    const read = await this.records.newest(this.stream, this.next.era)
    const { records, next, cost, source = 'log' } = read
    this.metrics.countRead(source, 'newest', cost)
    const compared = source === 'log' ? await this.readForComparison(next) : undefined
    // A peer may have taken this follower to a later era meanwhile.
    if (next.era < this.next.era) throw new Error(`the records were read in era ${next.era}, before era ${this.next.era}`)
    this.reportConfirmed(read)
    this.applyEverything(read)
    if (compared !== undefined) this.applyAll(compared, 'comparison')
    this.planned = readAfterNewest(this.largestHeld)
    log.info('read the newest record of each key', { stream: this.stream, source, records: records.length, next: next.offset, era: next.era, bytes: cost.bytes, readMilliseconds: Math.round(transferMilliseconds(cost)) })
    return read.ageMilliseconds ?? 0
  }

  private reportConfirmed ({ ageMilliseconds = 0 }: ReadRecords): void {
    if (Number.isFinite(ageMilliseconds)) this.listener.confirmed(monotonicNow() - ageMilliseconds)
  }

  private applyAll (read: ReadRecords, kind: MergedRead['kind']): void {
    const { records, next, cost, source = 'log', eras } = read
    if (eras !== undefined) this.learnEras(eras)
    const isFirst = this.merge.isEmpty
    const merged: MergedRead = { records, next, kind, isFromLog: source === 'log' }
    for (const record of records) this.highest = laterOf(this.highest, record)
    for (const record of this.merge.receive(merged, monotonicNow())) this.listener.record(record, isFirst, { source, cost })
    for (const record of this.merge.giveUpLost(monotonicNow())) {
      log.info('a record that the log lost was not written again; what the log holds is in force', { stream: this.stream, key: record.key, offset: record.offset, era: record.era, isRemoved: record.value === undefined })
      this.listener.record(record, false, { source, cost })
    }
  }

  /** Applies the newest record of each key, and advances to the end of that read. */
  private applyEverything (read: ReadRecords): void {
    const isNewEra = this.isNewEra(read.next)
    const isFirst = isNewEra || this.merge.isEmpty
    const before = this.next
    this.applyAll(read, 'everything')
    this.advanceAsNewest(read.next)
    if (isNewEra) this.reportNewEra(before)
    if (isFirst) this.listener.eraRead?.(read.next.era)
  }

  private reportNewEra (before: LogPosition): void {
    this.metrics.countNewEra()
    log.warn('the log came back from an older copy: what was read stays in force until it is written again', { stream: this.stream, before: formatPosition(before), next: formatPosition(this.next), held: this.merge.heldCount, copyEndsBy: this.merge.sharedEnd })
  }

  /** Reads the records before the end of a new era: they show removals, and where it differs from the one before. Undefined for no new era, or where that would cost too much. */
  private async readForComparison (end: LogPosition): Promise<ReadRecords | undefined> {
    if (!this.isNewEra(end)) return undefined
    const offset = this.merge.comparableFrom(end)
    const count = end.offset - offset
    if (count <= 0 || count * this.largestHeld > maximumComparedBytes) return undefined
    const page = await this.records.read(this.stream, { era: end.era, offset }, monotonicNow(), count)
    if (page.kind !== 'records') return undefined
    this.metrics.countRead(page.source ?? 'log', 'records', page.cost)
    return page
  }

  private isNewEra (next: LogPosition): boolean {
    return !this.merge.isEmpty && next.era > this.next.era
  }

  /** Advances to `next` after a read that left out superseded records. */
  private advanceAsNewest (next: LogPosition): void {
    if (!isBefore(this.next, next)) return
    if (next.era === this.next.era) this.removals.recordNewest(this.next.offset, next.offset)
    else this.removals.startEra(next.offset)
    this.next = next
  }

  private async readNext (limit: number): Promise<number> {
    const page = await this.records.read(this.stream, this.next, monotonicNow() + this.pace.wait, limit)
    if (page.kind === 'expired') {
      this.metrics.countExpired()
      log.warn('the log no longer has the records that follow; reading the newest record of each key', { stream: this.stream, next: this.next.offset, era: this.next.era })
      this.next = { era: this.next.era, offset: beforeLog.offset }
      this.planned = { kind: 'newest', isDue: true }
      return await this.readAll()
    }
    this.metrics.countRead(page.source ?? 'log', page.records.length === 0 ? 'empty' : 'records', page.cost)
    this.reportConfirmed(page)
    this.applyAll(page, 'following')
    if ((page.source ?? 'log') === 'log') this.next = laterOf(this.next, page.next)
    else this.advanceAsNewest(page.next)
    // Records that follow a page without any cannot be read now.
    const unread = page.records.length === 0 ? 0 : Math.max(0, page.end - this.next.offset)
    this.planned = nextRead({ unread, limit, largestRead: largestValue(page.records), largestHeld: this.largestHeld })
    if (this.planned.kind === 'newest') log.info('behind large records; reading the newest record of each key instead', { stream: this.stream, next: this.next.offset, era: this.next.era, unread })
    return page.ageMilliseconds ?? 0
  }

  private get largestHeld (): number {
    return largestValue(this.merge.records)
  }

  private recordSuccess (ageMilliseconds: number): void {
    this.failures = 0
    this.confirmedAt = Math.max(this.confirmedAt, monotonicNow() - ageMilliseconds)
    this.wakeWaiting()
    if (this.unreachableSince === undefined) return
    log.info('the log answers again', { stream: this.stream, lostMilliseconds: Math.round(monotonicNow() - this.unreachableSince), next: this.next.offset, era: this.next.era })
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
    log.warn('the log does not answer; continuing with the records read so far', { stream: this.stream, next: this.next.offset, era: this.next.era, reason: String(error) })
  }
}

/** Cost of what came with a message of another kind. */
const noCost: ReadCost = { bytes: 0, firstByteMilliseconds: 0, milliseconds: 0, records: 0, superseded: 0 }

/** Size of the largest value, bytes; 0 for none. */
function largestValue (records: Iterable<KeyedRecord>): number {
  let largest = 0
  for (const { value } of records) largest = Math.max(largest, value?.length ?? 0)
  return largest
}
