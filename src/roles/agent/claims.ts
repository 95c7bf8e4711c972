/** Claims of idempotency keys in the platform's log: appends in batches, one at a time, and a table of holders built from the records read back. */
import { randomUUID } from 'node:crypto'
import PQueue from 'p-queue'
import { abandon, foldClaim, markSent, needsRelease, applyDecision, decideClaim, type Claim, type LocalClaim } from '../../core/claims.js'
import type { LogClient } from '../../transports/log-client.js'
import { claimRecordSchema, type ClaimRecord } from '../../types/configuration.js'
import type { StoredRecord, StreamPage } from '../../types/platform.js'
import { runInBackground } from '../../utils/background.js'
import { withDeadline, waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('claims')
/** Time that a read waits for new records. */
const readWaitMilliseconds = 2000
const retryDelayMilliseconds = 200
const appendTimeoutMilliseconds = 2000
/** Minimum time between two appends, in which claims are gathered into a batch. */
const batchIntervalMilliseconds = 25
const recordsPerAppend = 500
/** Failed reads and appends after which the log counts as unavailable. */
const maximumFailures = 2

/** Agent that makes claims. */
export interface Claimer {
  readonly instance: string
  readonly incarnation: string
  /** Control address, `ip:port`. */
  readonly address: string
}

/** Result of a claim; `unavailable` when the log did not decide it in time, and then its key is released. */
export type ClaimResult =
  | { readonly kind: 'held', readonly claim: HeldClaim }
  | { readonly kind: 'lost' | 'reused', readonly holder: Claim }
  | { readonly kind: 'unavailable' }

/** A claim of this agent. */
interface TrackedClaim {
  state: LocalClaim
  readonly record: ClaimRecord
  resolve: (result: ClaimResult) => void
}

/** A held claim: allows one request to be sent once, or is released unused. */
export class HeldClaim {
  constructor (private readonly registry: ClaimRegistry, private readonly localClaim: TrackedClaim) {}

  /** Marks the request as sent, just before its first byte; false when the claim may no longer be used. */
  markSent (): boolean {
    const sent = markSent(this.localClaim.state)
    if (sent !== undefined) this.localClaim.state = sent
    return sent !== undefined
  }

  /** Releases the claim; no request was or will be sent under it. */
  release (): void {
    this.registry.abandonLocal(this.localClaim)
  }
}

/** Claims of one service: those that this agent makes, and the holders of all keys as far as the stream was read. */
export class ClaimRegistry {
  private next = 0
  /** Failed reads and appends since the last successful read; the log counts as unavailable until the first one. */
  private consecutiveFailures = maximumFailures
  private readonly holders = new Map<string, Claim>()
  private readonly localClaims = new Map<string, TrackedClaim>()
  private pendingRecords: readonly ClaimRecord[] = []
  private readonly appendQueue = new PQueue({ concurrency: 1, interval: batchIntervalMilliseconds, intervalCap: 1 })
  private readonly stopping = new AbortController()

  constructor (private readonly client: LogClient, private readonly stream: string, private readonly claimer: Claimer) {}

  start (): void {
    runInBackground(this.followStream(), log, 'follow the claims stream')
  }

  stop (): void {
    this.stopping.abort()
  }

  /** Whether the log is believed to accept claims. */
  get isAvailable (): boolean {
    return this.consecutiveFailures < maximumFailures
  }

  /** The claim that holds a key, as far as the stream was read; undefined when none is known or this agent is releasing it. */
  knownClaim (key: string, content: string): Extract<ClaimResult, { kind: 'lost' | 'reused' }> | undefined {
    const holder = this.holders.get(key)
    if (holder === undefined || this.isReleasing(holder)) return undefined
    return { kind: holder.content === content ? 'lost' : 'reused', holder }
  }

  /** Claims a key for a request with the body digest `content`; resolves at `deadline` (epoch milliseconds) at the latest. */
  async claim (key: string, content: string, deadline: number): Promise<ClaimResult> {
    const known = this.knownClaim(key, content)
    if (known !== undefined) return known
    if (!this.isAvailable) return { kind: 'unavailable' }
    const record: ClaimRecord = { type: 'claim', id: randomUUID(), key, content, ...this.claimer }
    return await new Promise<ClaimResult>(resolve => {
      const local: TrackedClaim = { state: { id: record.id, phase: 'appending' }, record, resolve: () => {} }
      const timer = setTimeout(() => { this.abandonLocal(local) }, Math.max(0, deadline - Date.now()))
      local.resolve = result => {
        clearTimeout(timer)
        resolve(result)
      }
      this.localClaims.set(record.id, local)
      this.append(record)
    })
  }

  /** Whether no agent has claimed a key, checked by a read of the log that starts after this call; false also when the read fails or misses `deadline` (epoch milliseconds). */
  async isFree (key: string, deadline: number): Promise<boolean> {
    try {
      const page = await withDeadline(this.client.read(this.stream, this.next, Date.now()), deadline, 'the log did not answer before the deadline')
      this.fold(page)
      return this.next >= page.next && !this.holders.has(key) && !this.isAppending(key)
    } catch {
      return false
    }
  }

  private isAppending (key: string): boolean {
    return [...this.localClaims.values()].some(({ record, state }) => record.key === key && state.phase === 'appending')
  }

  /** Abandons a claim of this agent unless its request may have been sent; the key is released once the claim's record is read back. */
  abandonLocal (local: TrackedClaim): void {
    const abandoned = abandon(local.state)
    if (abandoned === undefined) return
    local.state = abandoned
    this.localClaims.delete(local.record.id)
    local.resolve({ kind: 'unavailable' })
    this.releaseUnused(local.record.key)
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

  /** Whether a record must be appended again: it was not read back and still has an effect. */
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
    if (this.consecutiveFailures === maximumFailures) log.warn('the log is unavailable; refusing claims', { reason: String(error) })
    if (this.isAvailable) return
    for (const local of [...this.localClaims.values()]) if (local.state.phase === 'appending') this.abandonLocal(local)
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
    const local = record.type === 'claim' ? this.localClaims.get(record.id) : undefined
    if (local !== undefined) this.resolveLocal(local, holder)
    this.releaseUnused(record.key)
  }

  private resolveLocal (local: TrackedClaim, holder: Claim | undefined): void {
    if (local.state.phase !== 'appending') return
    const decision = decideClaim(holder, local.record.id, local.record.content)
    local.state = applyDecision(local.state, decision)
    local.resolve(decision.kind === 'held' ? { kind: 'held', claim: new HeldClaim(this, local) } : decision)
    if (local.state.phase === 'abandoned') this.localClaims.delete(local.record.id)
  }

  /** Appends the release of a claim of this agent that holds the key although no request will be sent under it. */
  private releaseUnused (key: string): void {
    const holder = this.holders.get(key)
    if (holder === undefined || !this.isReleasing(holder)) return
    if (this.pendingRecords.some(record => record.type === 'release' && record.id === holder.id)) return
    const { id, content } = holder
    this.append({ type: 'release', id, key, content, ...this.claimer })
  }

  /** Deletes claims whose records have expired in the log, that is, below offset `first`; `holders` is in offset order. */
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
