/** Reads a stream from the first source that answers: entries that have read it, or the log itself. */
import { isEarlierRead, isOutside, nameOfSource, outsideReadDelay, splitSources, type AskedEntries, type PreferredSource, type StaleEntry } from '../core/fleet/record-sources.js'
import { SourcePatience } from '../core/fleet/source-patience.js'
import { beforeLog, type LogPosition } from '../core/log-position.js'
import { CheckedAgent } from '../transports/checked-agent.js'
import { HttpCallError } from '../transports/http-call.js'
import { RecordLog, type NewestRecords, type ReadRecords, type RecordPage, type StreamName } from '../types/ports.js'
import { monotonicNow, sleepUntil } from '../utils/clock.js'
import { logFor } from '../utils/log.js'
import { FedRecordLog, StaleRecordsError } from './fed-record-log.js'
import type { ReadMetrics } from './read-metrics.js'
import { Attempt, PendingCall } from './record-attempt.js'
import type { FedStream } from './record-feed.js'

const log = logFor('records')

/** Time for which a source that did not answer is not tried unless all others failed too, milliseconds; doubled for each consecutive failure of an entry up to the maximum. */
const avoidedMilliseconds = { log: 500, entry: 1000, maximum: 8000 } as const
/** Entries without an answer after which a call turns to the log: each one takes up to a second. */
const maximumUnanswered = 2
/** Time within which a failure costs too little to count as no answer, milliseconds. */
const quickFailureMilliseconds = 300
/** Time after which the other entries are asked again while they are left the link, milliseconds. */
const askAgainMilliseconds = 100
/** Age from which this node's own records no longer count as current, milliseconds. */
const maximumAgeMilliseconds = 1200

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
  /** Receives what was read from the position `from` on, `beforeLog` for everything, by a call that another source had answered before. */
  readLate (read: ReadRecords, from: LogPosition): void
}

/** The log's records by way of the preferred source; calls throw the log's error if it was tried, otherwise that of the first source. */
export class SelectedRecordLog extends RecordLog {
  private readonly agent = new CheckedAgent({ keepAlive: true, maxFreeSockets: 2 })
  private readonly feeds = new Map<string, FedRecordLog>()
  /** Until when a source is avoided, milliseconds of the monotonic clock. */
  private readonly avoidedUntil = new Map<string, number>()
  /** Consecutive calls that a source did not answer. */
  private readonly failures = new Map<string, number>()
  private current = ''
  /** Whether the source that answered last is outside the data centre. */
  private isCurrentOutside = false
  /** Time at which the log last confirmed what was read, milliseconds of the monotonic clock; undefined before the first answer. */
  private confirmedAt: number | undefined
  private outsideSince: number | undefined
  /** Calls outside the data centre that have not ended, by name of the source. */
  private readonly pending = new Map<string, PendingCall>()
  private readonly patience = new SourcePatience()
  private isStopped = false

  constructor (private readonly options: SelectionOptions) {
    super()
  }

  /** Name of the source that answered last: `log`, or the instance of an entry; empty before the first answer. */
  get source (): string {
    return this.current
  }

  /** Start of the read outside the data centre that is in progress or about to begin, milliseconds of the monotonic clock; undefined for none. */
  get readingSince (): number | undefined {
    return this.outsideSince
  }

  async newest (stream: StreamName, minimumEra = 0): Promise<NewestRecords> {
    return await this.tryInOrder(new Attempt('newest', beforeLog, source => this.reach(source).newest(stream, minimumEra)))
  }

  async read (stream: StreamName, from: LogPosition, waitUntil: number, limit: number): Promise<RecordPage> {
    return await this.tryInOrder(new Attempt('records', from, source => {
      const until = source.kind === 'log' ? Math.min(waitUntil, monotonicNow() + this.options.logWaitMilliseconds) : waitUntil
      return this.reach(source).read(stream, from, until, limit)
    }))
  }

  async write (stream: StreamName, key: string, value: Buffer): Promise<void> {
    await this.options.log.write(stream, key, value)
  }

  /** Ends the call in progress without trying a further source: where all nodes stop at once, each one loses its sources and would read the log. */
  override close (): void {
    this.isStopped = true
    this.agent.destroy()
    this.options.log.close()
  }

  private async tryInOrder<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>): Promise<Result> {
    try {
      return await this.trySources(attempt)
    } finally {
      attempt.isEnded = true
    }
  }

  private async trySources<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>): Promise<Result> {
    const startedAt = monotonicNow()
    for (;;) {
      const { before, outside, after } = splitSources(this.choose())
      // Entries that come later may have begun to read while this one still has old records.
      const isOld = this.confirmedAt !== undefined && monotonicNow() - this.confirmedAt > maximumAgeMilliseconds
      const asked = await this.ask(attempt, before, isOld ? after : [])
      if (attempt.result !== undefined) {
        this.outsideSince = undefined
        return attempt.result
      }
      if (outside.length > 0) {
        const delay = this.outsideReadDelay(asked, startedAt)
        if (delay > 0 && !this.isStopped) {
          this.outsideSince = undefined
          await sleepUntil(monotonicNow() + Math.min(delay, askAgainMilliseconds))
          continue
        }
        if (isOld && this.outsideSince === undefined) {
          this.outsideSince = monotonicNow()
          continue
        }
        await this.readOutside(attempt, outside)
      }
      if (attempt.result === undefined && !isOld) await this.ask(attempt, [], after)
      if (attempt.result !== undefined) return attempt.result
      this.outsideSince = undefined
      throw attempt.failure ?? new Error('no source of records is known')
    }
  }

  /** Asks entries of the own data centre until one delivers. */
  private async ask<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>, before: readonly PreferredSource[], after: readonly PreferredSource[]): Promise<AskedEntries> {
    const asked = { before: new Array<StaleEntry>(), after: new Array<StaleEntry>(), refused: 0 }
    for (const source of [...before, ...after]) {
      const isBefore = before.includes(source)
      const sentAt = monotonicNow()
      const error = await this.tryOne(attempt, source)
      if (attempt.result !== undefined) break
      if (error instanceof StaleRecordsError) asked[isBefore ? 'before' : 'after'].push(this.withEarlierRead(error.sender, isBefore ? sentAt : monotonicNow()))
      else if (isRefused(error) && before.includes(source)) asked.refused += 1
    }
    return asked
  }

  /** An answer without a read that began after this node's claim; `at` is when it was asked for one that comes before, so that this node leaves the read to it if both claim at once. */
  private withEarlierRead (sender: StaleEntry, at: number): StaleEntry {
    const { ageMilliseconds, isConnected, readingMilliseconds } = sender
    const claimMilliseconds = this.outsideSince === undefined ? undefined : at - this.outsideSince
    return { ageMilliseconds, isConnected, readingMilliseconds: isEarlierRead(readingMilliseconds, claimMilliseconds) ? readingMilliseconds : undefined }
  }

  private async readOutside<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>, outside: readonly PreferredSource[]): Promise<void> {
    this.outsideSince ??= monotonicNow()
    try {
      for (const source of outside) {
        if (source.kind === 'log' && attempt.unanswered >= maximumUnanswered) this.avoidAll(outside)
        await this.tryBeside(attempt, source)
        if (attempt.result !== undefined) return
      }
    } finally {
      this.outsideSince = undefined
    }
  }

  /**
   * Asks a source outside the data centre, and returns without its answer once an entry counts as slow. The call goes on: over a
   * full link no answer would ever arrive if each call were given up and begun again. Whichever source answers first ends the attempt.
   */
  private async tryBeside<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>, source: PreferredSource): Promise<void> {
    if (this.isStopped || (source.kind === 'entry' && attempt.unanswered >= maximumUnanswered)) return
    const call = this.pending.get(nameOfSource(source)) ?? this.startBeside(attempt, source)
    const ended = call.end.then(() => { attempt.adopt(call) })
    // One that stops may end before it answers: the next one is asked at the same time.
    if (source.kind === 'entry' && !source.isReady) return
    await Promise.race([ended, attempt.answered, ...source.kind === 'log' ? [] : [call.becomesSlow()]])
    if (call.isEnded || attempt.result !== undefined) return
    attempt.unanswered += 1
    this.avoid(source)
    log.warn('an entry in another data centre is slow to deliver records; asking the next source beside it', { stream: this.options.stream, source: nameOfSource(source), milliseconds: Math.round(monotonicNow() - call.startedAt) })
  }

  private startBeside<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>, source: PreferredSource): PendingCall {
    const name = nameOfSource(source)
    const startedAt = monotonicNow()
    const hasLate = attempt.unanswered > 0 || this.failures.has(name)
    const milliseconds = attempt.kind === 'newest' ? this.patience.copyMilliseconds(hasLate) : this.patience.pollMilliseconds(hasLate)
    const call = new PendingCall(attempt.kind, attempt.from, startedAt, startedAt + milliseconds)
    this.pending.set(name, call)
    call.end = attempt.call(source).then(result => {
      call.result = result
      if (source.kind === 'entry' && attempt.kind === 'records') this.patience.recordAnswer(monotonicNow() - startedAt)
      this.recordSuccess(source, result)
    }, (error: unknown) => { this.recordAttemptFailure(attempt, source, error, startedAt) }).then(() => {
      call.isEnded = true
      this.pending.delete(name)
      setImmediate(() => { this.deliverUnused(call) })
    })
    return call
  }

  /** Hands on what no attempt has taken when its call ended. */
  private deliverUnused ({ result, from, isAdopted }: PendingCall): void {
    if (this.isStopped || isAdopted || result === undefined) return
    if (!('kind' in result) || result.kind === 'records') this.options.readLate({ source: 'log', ...result }, from)
  }

  /** Calls one source, unless it is an entry and too many of them did not answer; returns the error of a call that failed. */
  private async tryOne<Result extends NewestRecords | RecordPage> (attempt: Attempt<Result>, source: PreferredSource): Promise<unknown> {
    if (this.isStopped || (source.kind === 'entry' && attempt.unanswered >= maximumUnanswered)) return
    const startedAt = monotonicNow()
    try {
      attempt.result = await attempt.call(source)
      this.recordSuccess(source, attempt.result)
    } catch (error) {
      this.recordAttemptFailure(attempt, source, error, startedAt)
      return error
    }
  }

  private recordAttemptFailure (attempt: Pick<Attempt, 'failure' | 'unanswered'>, source: PreferredSource, error: unknown, startedAt: number): void {
    if (attempt.failure === undefined || source.kind === 'log') attempt.failure = error
    const isStarting = this.confirmedAt === undefined && isRefused(error)
    this.recordFailure(source, error, isStarting)
    const isQuick = monotonicNow() - startedAt < quickFailureMilliseconds
    if (!(error instanceof StaleRecordsError) && !isStarting && !isQuick) attempt.unanswered += 1
  }

  private outsideReadDelay (asked: AskedEntries, startedAt: number): number {
    const now = monotonicNow()
    const isReadingForOthers = this.isCurrentOutside && this.confirmedAt !== undefined && now - this.confirmedAt <= maximumAgeMilliseconds
    return outsideReadDelay(asked, { isReadingForOthers, hasRecords: this.confirmedAt !== undefined, heldMilliseconds: now - startedAt })
  }

  /** Sources to try: those that have not failed lately, otherwise the one whose failure is longest ago. */
  private choose (): readonly PreferredSource[] {
    const now = monotonicNow()
    const sources = this.options.sources()
    const usable = sources.filter(source => (this.avoidedUntil.get(nameOfSource(source)) ?? 0) <= now)
    if (usable.length > 0) return usable
    return [...sources].sort((left, right) => (this.avoidedUntil.get(nameOfSource(left)) ?? 0) - (this.avoidedUntil.get(nameOfSource(right)) ?? 0)).slice(0, 1)
  }

  private reach (source: PreferredSource): RecordLog {
    if (source.kind === 'log') return this.options.log
    const address = `${source.ip}:${this.options.internalPort}`
    const feed = this.feeds.get(address) ?? new FedRecordLog(address, this.options.stream, this.agent, source.isSameDataCentre ? 'peer' : 'remote-peer', this.options.instance)
    this.feeds.set(address, feed)
    return feed
  }

  private recordFailure (source: PreferredSource, error: unknown, isStarting: boolean): void {
    const name = nameOfSource(source)
    if (!(error instanceof StaleRecordsError) && !isStarting) this.avoid(source)
    if (source.kind === 'log') return
    this.options.metrics.countFailure(source.isSameDataCentre ? 'peer' : 'remote-peer', error)
    if (this.current === name) log.warn('an entry does not deliver records; trying the next source', { stream: this.options.stream, source: name, reason: String(error) })
  }

  /** Leaves out the entries near the log that were not asked, since the others there are late: their data centre may be dark, and a read that follows at once must not find them first. */
  private avoidAll (outside: readonly PreferredSource[]): void {
    const until = monotonicNow() + avoidedMilliseconds.entry
    for (const source of outside) {
      if (source.kind === 'entry' && !this.failures.has(nameOfSource(source))) this.avoidedUntil.set(nameOfSource(source), until)
    }
  }

  /** Leaves a source out for some time, longer after each consecutive failure of an entry. */
  private avoid (source: PreferredSource): void {
    const name = nameOfSource(source)
    const failures = (this.failures.get(name) ?? 0) + 1
    this.failures.set(name, failures)
    const milliseconds = source.kind === 'log' ? avoidedMilliseconds.log : Math.min(avoidedMilliseconds.maximum, avoidedMilliseconds.entry * 2 ** (failures - 1))
    this.avoidedUntil.set(name, monotonicNow() + milliseconds)
  }

  private recordSuccess (source: PreferredSource, result: NewestRecords | RecordPage): void {
    const name = nameOfSource(source)
    this.failures.delete(name)
    this.avoidedUntil.delete(name)
    this.isCurrentOutside = isOutside(source)
    const { ageMilliseconds = 0 } = 'kind' in result && result.kind === 'expired' ? { ageMilliseconds: Infinity } : result as NewestRecords
    this.confirmedAt = Math.max(this.confirmedAt ?? -Infinity, monotonicNow() - ageMilliseconds)
    if (name === this.current) return
    log.info('records are read from another source', { stream: this.options.stream, source: name, before: this.current })
    this.current = name
  }
}

/** Whether nothing listened at the address, as while a process starts. */
function isRefused (error: unknown): boolean {
  return error instanceof HttpCallError && error.cause instanceof Error && 'code' in error.cause && error.cause.code === 'ECONNREFUSED'
}
