/** Claims in the platform's log: batched appends, one under way at a time, and a table that is read back. */
import { randomUUID } from 'node:crypto'
import PQueue from 'p-queue'
import { abandon, foldClaim, markSent, needsRelease, applyDecision, decideClaim, type Claim, type LocalClaim } from '../../core/claims.js'
import type { LogClient } from '../../transports/log-client.js'
import { claimRecordSchema, type ClaimRecord } from '../../types/configuration.js'
import type { StoredRecord, StreamPage } from '../../types/platform.js'
import { runInBackground } from '../../utils/background.js'
import { settleBy, waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('claims')
const pollMilliseconds = 2000
const retryMilliseconds = 200
const appendMilliseconds = 2000
const batchMilliseconds = 25
const recordsPerAppend = 500
const failuresToRefuse = 2

/** Who claims. */
export interface Claimer {
  readonly instance: string
  readonly incarnation: string
  /** Control address, `ip:port`. */
  readonly address: string
}

/** What became of a claim. */
export type ClaimResult =
  | { readonly kind: 'held', readonly claim: HeldClaim }
  | { readonly kind: 'lost' | 'reused', readonly holder: Claim }
  | { readonly kind: 'unavailable' }

interface Own {
  state: LocalClaim
  readonly record: ClaimRecord
  settle: (result: ClaimResult) => void
}

/** The right to send one request once, or to give it back unused. */
export class HeldClaim {
  constructor (private readonly book: ClaimBook, private readonly own: Own) {}

  /** Marks the request as sent, just before its first byte; false when the right is gone. */
  markSent (): boolean {
    const sent = markSent(this.own.state)
    if (sent !== undefined) this.own.state = sent
    return sent !== undefined
  }

  /** Gives the claim back; nothing was sent and nothing will be. */
  release (): void {
    this.book.giveUp(this.own)
  }
}

/** The claims of one service, as one agent sees and writes them. */
export class ClaimBook {
  private next = 0
  /** Failures since the log last answered. */
  private failures = failuresToRefuse
  private readonly holders = new Map<string, Claim>()
  private readonly own = new Map<string, Own>()
  private toAppend: readonly ClaimRecord[] = []
  private readonly appends = new PQueue({ concurrency: 1, interval: batchMilliseconds, intervalCap: 1 })
  private readonly stopping = new AbortController()

  constructor (private readonly client: LogClient, private readonly stream: string, private readonly claimer: Claimer) {}

  start (): void {
    runInBackground(this.tail(), log, 'tail the claims')
  }

  stop (): void {
    this.stopping.abort()
  }

  /** Whether the log can take a claim, as far as the agent knows. */
  get isAvailable (): boolean {
    return this.failures < failuresToRefuse
  }

  /** The claim that holds a key already, as far as the stream was read. */
  knownClaim (key: string, content: string): Extract<ClaimResult, { kind: 'lost' | 'reused' }> | undefined {
    const holder = this.holders.get(key)
    if (holder === undefined || this.isReleasing(holder)) return undefined
    return { kind: holder.content === content ? 'lost' : 'reused', holder }
  }

  /** Claims a key; settles at `deadline` (epoch milliseconds) at the latest. */
  async claim (key: string, content: string, deadline: number): Promise<ClaimResult> {
    const known = this.knownClaim(key, content)
    if (known !== undefined) return known
    if (!this.isAvailable) return { kind: 'unavailable' }
    const record: ClaimRecord = { type: 'claim', id: randomUUID(), key, content, ...this.claimer }
    return await new Promise<ClaimResult>(resolve => {
      const own: Own = { state: { id: record.id, phase: 'appending' }, record, settle: () => {} }
      const timer = setTimeout(() => { this.giveUp(own) }, Math.max(0, deadline - Date.now()))
      own.settle = result => {
        clearTimeout(timer)
        resolve(result)
      }
      this.own.set(record.id, own)
      this.append(record)
    })
  }

  /** Whether nobody has claimed a key, by a read of the log that began after the question; false when that cannot be known before `deadline` (epoch milliseconds). */
  async isFree (key: string, deadline: number): Promise<boolean> {
    try {
      const page = await settleBy(this.client.read(this.stream, this.next, Date.now()), deadline, 'the log gave no answer in time')
      this.fold(page)
      return this.next >= page.next && !this.holders.has(key) && !this.isAppending(key)
    } catch {
      return false
    }
  }

  private isAppending (key: string): boolean {
    return [...this.own.values()].some(({ record, state }) => record.key === key && state.phase === 'appending')
  }

  /** Gives up an own claim; the log frees its key as soon as its record is found there. */
  giveUp (own: Own): void {
    const abandoned = abandon(own.state)
    if (abandoned === undefined) return
    own.state = abandoned
    this.own.delete(own.record.id)
    own.settle({ kind: 'unavailable' })
    this.releaseIfOurs(own.record.key)
  }

  private isReleasing (holder: Claim): boolean {
    return needsRelease(holder, this.claimer.incarnation, this.own.get(holder.id)?.state)
  }

  private append (record: ClaimRecord): void {
    this.toAppend = [...this.toAppend, record]
    if (this.appends.size === 0) runInBackground(this.appends.add(async () => { await this.flush() }), log, 'append claims')
  }

  private async flush (): Promise<void> {
    const batch = this.toAppend.slice(0, recordsPerAppend)
    this.toAppend = this.toAppend.slice(recordsPerAppend)
    if (batch.length === 0) return
    try {
      await this.client.append(this.stream, batch.map(record => JSON.stringify(record)), Date.now() + appendMilliseconds)
    } catch (error) {
      this.noteFailure(error)
      await waitUntil(Date.now() + retryMilliseconds, this.stopping.signal)
      for (const record of batch) if (this.isWanted(record)) this.append(record)
    }
    if (this.toAppend.length > 0 && this.appends.size === 0) runInBackground(this.appends.add(async () => { await this.flush() }), log, 'append claims')
  }

  /** Whether a record should be appended again: it was not read back and still has a use. */
  private isWanted (record: ClaimRecord): boolean {
    if (record.type === 'release') return this.holders.get(record.key)?.id === record.id
    return this.own.get(record.id)?.state.phase === 'appending'
  }

  private async tail (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        const wait = this.isAvailable ? pollMilliseconds : 0
        this.fold(await this.client.read(this.stream, this.next, Date.now() + wait))
        this.failures = 0
      } catch (error) {
        this.noteFailure(error)
        await waitUntil(Date.now() + retryMilliseconds, this.stopping.signal)
      }
    }
  }

  private noteFailure (error: unknown): void {
    this.failures += 1
    if (this.failures === failuresToRefuse) log.warn('the log takes no claims now', { reason: String(error) })
    if (this.isAvailable) return
    for (const own of [...this.own.values()]) if (own.state.phase === 'appending') this.giveUp(own)
  }

  private fold (page: StreamPage): void {
    for (const record of page.records) if (record.offset >= this.next) this.foldRecord(record)
    this.next = Math.max(this.next, page.first, (page.records.at(-1)?.offset ?? -1) + 1)
    this.forgetBefore(page.first)
  }

  private foldRecord (stored: StoredRecord): void {
    const record = parseRecord(stored.body)
    if (record === undefined) return
    const holder = foldClaim(this.holders.get(record.key), stored.offset, record)
    if (holder === undefined) this.holders.delete(record.key)
    else this.holders.set(record.key, holder)
    const own = record.type === 'claim' ? this.own.get(record.id) : undefined
    if (own !== undefined) this.settleOwn(own, holder)
    this.releaseIfOurs(record.key)
  }

  private settleOwn (own: Own, holder: Claim | undefined): void {
    if (own.state.phase !== 'appending') return
    const verdict = decideClaim(holder, own.record.id, own.record.content)
    own.state = applyDecision(own.state, verdict)
    own.settle(verdict.kind === 'held' ? { kind: 'held', claim: new HeldClaim(this, own) } : verdict)
    if (own.state.phase === 'abandoned') this.own.delete(own.record.id)
  }

  /** Appends the release of a claim that holds the key for nothing. */
  private releaseIfOurs (key: string): void {
    const holder = this.holders.get(key)
    if (holder === undefined || !this.isReleasing(holder)) return
    if (this.toAppend.some(record => record.type === 'release' && record.id === holder.id)) return
    const { id, content } = holder
    this.append({ type: 'release', id, key, content, ...this.claimer })
  }

  /** Forgets the keys whose claim has expired in the log; holders stand in offset order. */
  private forgetBefore (first: number): void {
    for (const [key, holder] of this.holders) {
      if (holder.offset >= first) return
      this.holders.delete(key)
      this.own.delete(holder.id)
    }
  }
}

function parseRecord (body: string): ClaimRecord | undefined {
  try {
    return claimRecordSchema.safeParse(JSON.parse(body)).data
  } catch {
    return undefined
  }
}
