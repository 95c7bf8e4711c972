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
const readWaitMilliseconds = 2000
const retryDelayMilliseconds = 200
const appendTimeoutMilliseconds = 2000
const batchIntervalMilliseconds = 25
const recordsPerAppend = 500
const maximumFailures = 2

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

interface LocalClaim {
  state: LocalClaim
  readonly record: ClaimRecord
  resolve: (result: ClaimResult) => void
}

/** The right to send one request once, or to give it back unused. */
export class HeldClaim {
  constructor (private readonly registry: ClaimRegistry, private readonly localClaim: LocalClaim) {}

  /** Marks the request as sent, just before its first byte; false when the right is gone. */
  markSent (): boolean {
    const sent = markSent(this.localClaim.state)
    if (sent !== undefined) this.localClaim.state = sent
    return sent !== undefined
  }

  /** Gives the claim back; nothing was sent and nothing will be. */
  release (): void {
    this.registry.abandonLocal(this.localClaim)
  }
}

/** The claims of one service, as one agent sees and writes them. */
export class ClaimRegistry {
  private next = 0
  /** Failures since the log last answered. */
  private consecutiveFailures = maximumFailures
  private readonly holders = new Map<string, Claim>()
  private readonly localClaims = new Map<string, LocalClaim>()
  private pendingRecords: readonly ClaimRecord[] = []
  private readonly appendQueue = new PQueue({ concurrency: 1, interval: batchIntervalMilliseconds, intervalCap: 1 })
  private readonly stopping = new AbortController()

  constructor (private readonly client: LogClient, private readonly stream: string, private readonly claimer: Claimer) {}

  start (): void {
    runInBackground(this.followStream(), log, 'tail the claims')
  }

  stop (): void {
    this.stopping.abort()
  }

  /** Whether the log can take a claim, as far as the agent knows. */
  get isAvailable (): boolean {
    return this.consecutiveFailures < maximumFailures
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
      const own: LocalClaim = { state: { id: record.id, phase: 'appending' }, record, resolve: () => {} }
      const timer = setTimeout(() => { this.abandonLocal(own) }, Math.max(0, deadline - Date.now()))
      own.resolve = result => {
        clearTimeout(timer)
        resolve(result)
      }
      this.localClaims.set(record.id, own)
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
    return [...this.localClaims.values()].some(({ record, state }) => record.key === key && state.phase === 'appending')
  }

  /** Gives up an own claim; the log frees its key as soon as its record is found there. */
  abandonLocal (own: LocalClaim): void {
    const abandoned = abandon(own.state)
    if (abandoned === undefined) return
    own.state = abandoned
    this.localClaims.delete(own.record.id)
    own.resolve({ kind: 'unavailable' })
    this.releaseUnused(own.record.key)
  }

  private isReleasing (holder: Claim): boolean {
    return needsRelease(holder, this.claimer.incarnation, this.localClaims.get(holder.id)?.state)
  }

  private append (record: ClaimRecord): void {
    this.pendingRecords = [...this.pendingRecords, record]
    if (this.appendQueue.size === 0) runInBackground(this.appendQueue.add(async () => { await this.flush() }), log, 'append claims')
  }

  private async flush (): Promise<void> {
    const batch = this.pendingRecords.slice(0, recordsPerAppend)
    this.pendingRecords = this.pendingRecords.slice(recordsPerAppend)
    if (batch.length === 0) return
    try {
      await this.client.append(this.stream, batch.map(record => JSON.stringify(record)), Date.now() + appendTimeoutMilliseconds)
    } catch (error) {
      this.recordFailure(error)
      await waitUntil(Date.now() + retryDelayMilliseconds, this.stopping.signal)
      for (const record of batch) if (this.isStillNeeded(record)) this.append(record)
    }
    if (this.pendingRecords.length > 0 && this.appendQueue.size === 0) runInBackground(this.appendQueue.add(async () => { await this.flush() }), log, 'append claims')
  }

  /** Whether a record should be appended again: it was not read back and still has a use. */
  private isStillNeeded (record: ClaimRecord): boolean {
    if (record.type === 'release') return this.holders.get(record.key)?.id === record.id
    return this.localClaims.get(record.id)?.state.phase === 'appending'
  }

  private async followStream (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        const wait = this.isAvailable ? readWaitMilliseconds : 0
        this.fold(await this.client.read(this.stream, this.next, Date.now() + wait))
        this.consecutiveFailures = 0
      } catch (error) {
        this.recordFailure(error)
        await waitUntil(Date.now() + retryDelayMilliseconds, this.stopping.signal)
      }
    }
  }

  private recordFailure (error: unknown): void {
    this.consecutiveFailures += 1
    if (this.consecutiveFailures === maximumFailures) log.warn('the log takes no claims now', { reason: String(error) })
    if (this.isAvailable) return
    for (const own of [...this.localClaims.values()]) if (own.state.phase === 'appending') this.abandonLocal(own)
  }

  private fold (page: StreamPage): void {
    for (const record of page.records) if (record.offset >= this.next) this.foldRecord(record)
    this.next = Math.max(this.next, page.first, (page.records.at(-1)?.offset ?? -1) + 1)
    this.deleteExpired(page.first)
  }

  private foldRecord (stored: StoredRecord): void {
    const record = parseRecord(stored.body)
    if (record === undefined) return
    const holder = foldClaim(this.holders.get(record.key), stored.offset, record)
    if (holder === undefined) this.holders.delete(record.key)
    else this.holders.set(record.key, holder)
    const own = record.type === 'claim' ? this.localClaims.get(record.id) : undefined
    if (own !== undefined) this.resolveLocal(own, holder)
    this.releaseUnused(record.key)
  }

  private resolveLocal (own: LocalClaim, holder: Claim | undefined): void {
    if (own.state.phase !== 'appending') return
    const verdict = decideClaim(holder, own.record.id, own.record.content)
    own.state = applyDecision(own.state, verdict)
    own.resolve(verdict.kind === 'held' ? { kind: 'held', claim: new HeldClaim(this, own) } : verdict)
    if (own.state.phase === 'abandoned') this.localClaims.delete(own.record.id)
  }

  /** Appends the release of a claim that holds the key for nothing. */
  private releaseUnused (key: string): void {
    const holder = this.holders.get(key)
    if (holder === undefined || !this.isReleasing(holder)) return
    if (this.pendingRecords.some(record => record.type === 'release' && record.id === holder.id)) return
    const { id, content } = holder
    this.append({ type: 'release', id, key, content, ...this.claimer })
  }

  /** Forgets the keys whose claim has expired in the log; holders stand in offset order. */
  private deleteExpired (first: number): void {
    for (const [key, holder] of this.holders) {
      if (holder.offset >= first) return
      this.holders.delete(key)
      this.localClaims.delete(holder.id)
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
