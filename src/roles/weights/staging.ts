/** Keeps track of the chunks that are staged on the engine's machine, and of when each was last checked. */
import { isRecentForOrder, isRightUntil, maximumCheckAgeMilliseconds, type ChunkChecks } from '../../core/weights/load-trust.js'
import type { EnginePort } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { VersionChunks } from './chunk-store.js'

const log = logFor('orders')

/** Passes over the chunks until the checks count as too slow. */
const maximumPasses = 5
/** Reads at the same time: as many as a pass of this length needs, milliseconds, by the time of its first read. */
const concurrentReads = { minimum: 3, maximum: 48, passMilliseconds: 600 } as const
/** Time in which a call to stage a chunk that was not answered may still be carried out, milliseconds. */
const maximumLateStageMilliseconds = 15_000
/** Age from which a check is renewed, milliseconds. */
const renewalAgeMilliseconds = maximumCheckAgeMilliseconds / 2

/** Stages the chunks of one version at a time; the engine stores one copy of a model and does not verify it. */
export class Staging {
  private chunks: VersionChunks | undefined
  /** When the last check that found the staged chunk right began, by position, milliseconds of the monotonic clock; 0 before the first. */
  private checkedAt = new Map<number, number>()
  private lapsedUntil = 0
  /** When a chunk was last staged, and until when one may still be by a call that was not answered, milliseconds of the monotonic clock. */
  private stagedAt = 0
  private lateStageUntil = 0
  private isStopped = false

  constructor (private readonly engine: EnginePort) {}

  /** Whether every chunk of a version was staged since the last reset. */
  isComplete (chunks: VersionChunks): boolean {
    return this.chunks === chunks && this.checkedAt.size === chunks.digests.length
  }

  /** The checks of a version's staged chunks. */
  checksOf (chunks: VersionChunks): ChunkChecks {
    return { oldestAt: this.isComplete(chunks) ? Math.min(...this.checkedAt.values()) : 0, lapsedUntil: this.lapsedUntil, mayBeReplaced: monotonicNow() < this.lateStageUntil }
  }

  /** Stages the held chunks that are not staged yet, so that a restarted agent finds them. Throws when the engine fails. */
  async add (chunks: VersionChunks): Promise<void> {
    if (this.chunks !== chunks) {
      this.reset()
      this.chunks = chunks
    }
    for (let position = 0; position < chunks.digests.length; position += 1) {
      const bytes = this.checkedAt.has(position) ? undefined : chunks.get(position)
      if (bytes === undefined) continue
      await this.stage(chunks, position, bytes)
    }
  }

  /**
   * Checks the staged chunks of a complete version, and stages anew those that are missing, corrupt or of another version,
   * until all checks are recent enough for an order. Throws if the engine fails or is too slow, or if a chunk is not held.
   */
  async verify (chunks: VersionChunks): Promise<void> {
    for (let pass = 0; pass < maximumPasses; pass += 1) {
      await this.renewChecks(chunks)
      if (isRecentForOrder(this.checksOf(chunks).oldestAt, monotonicNow())) return
    }
    throw new Error(`the checks of the chunks of version ${chunks.version} take too long`)
  }

  /** Checks the staged chunks again whose last check is no longer recent, and stages wrong ones anew. Throws as `verify` does. */
  async renewChecks (chunks: VersionChunks): Promise<void> {
    if (this.chunks !== chunks) throw new Error(`version ${chunks.version} is not staged`)
    const renewBefore = monotonicNow() - renewalAgeMilliseconds
    const due = chunks.digests.map((_, position) => position).filter(position => (this.checkedAt.get(position) ?? 0) < renewBefore)
    await this.forEachConcurrently(due, position => this.checkOrRepair(chunks, position))
  }

  /**
   * Whether all staged chunks are those of a version, and were so since a time, milliseconds of the monotonic clock: what
   * was staged later tells nothing of what lay there before. Stages nothing. Throws when the engine fails.
   */
  async wasStagedSince (chunks: VersionChunks, since: number): Promise<boolean> {
    let areRight = true
    await this.forEachConcurrently(chunks.digests.map((_, position) => position), async position => {
      const staged = areRight ? await this.engine.stagedChunk(chunks.model, position) : undefined
      if (staged === undefined || !chunks.isValid(position, staged)) areRight = false
    })
    return areRight && this.stagedAt <= since
  }

  /** Clears the record of what is staged, after a restart of the engine or for another version. */
  reset (): void {
    this.chunks = undefined
    this.checkedAt = new Map()
    this.lapsedUntil = 0
  }

  /** Ends what is in progress before its next call; another process of this agent may follow. */
  stop (): void {
    this.isStopped = true
  }

  private async checkOrRepair (chunks: VersionChunks, position: number): Promise<void> {
    const startedAt = monotonicNow()
    const staged = await this.engine.stagedChunk(chunks.model, position)
    if (this.chunks !== chunks) throw new Error(`version ${chunks.version} is staged no more`)
    if (staged !== undefined && chunks.isValid(position, staged)) {
      this.checkedAt.set(position, startedAt)
      return
    }
    log.warn('a staged chunk is missing or corrupt', { model: chunks.model, version: chunks.version, position })
    const bytes = chunks.get(position)
    if (bytes === undefined) throw new Error(`chunk ${position} of version ${chunks.version} is not held`)
    const rightAt = this.checkedAt.get(position) ?? 0
    await this.stage(chunks, position, bytes)
    const now = monotonicNow()
    if (!isRightUntil(rightAt, now)) this.lapsedUntil = now
  }

  private async stage (chunks: VersionChunks, position: number, bytes: Buffer): Promise<void> {
    this.throwIfStopped()
    try {
      await this.engine.stage(chunks.model, position, bytes)
    } catch (error) {
      this.lateStageUntil = monotonicNow() + maximumLateStageMilliseconds
      throw error
    } finally {
      this.stagedAt = monotonicNow()
    }
    if (this.chunks === chunks) this.checkedAt.set(position, 0)
  }

  /** Calls `work` for each position, several at the same time if one takes long; after a failure no further call begins, and those in progress are awaited. */
  private async forEachConcurrently (positions: readonly number[], work: (position: number) => Promise<void>): Promise<void> {
    const pending = [...positions]
    const workOff = async (): Promise<void> => {
      try {
        for (let position = pending.shift(); position !== undefined; position = pending.shift()) {
          this.throwIfStopped()
          await work(position)
        }
      } catch (error) {
        pending.length = 0
        throw error
      }
    }
    const first = pending.shift()
    if (first === undefined) return
    this.throwIfStopped()
    const startedAt = monotonicNow()
    await work(first)
    const { minimum, maximum, passMilliseconds } = concurrentReads
    const count = Math.min(maximum, Math.max(minimum, Math.ceil(positions.length * (monotonicNow() - startedAt) / passMilliseconds)))
    const results = await Promise.allSettled(Array.from({ length: count }, workOff))
    const failed = results.find(({ status }) => status === 'rejected')
    if (failed?.status === 'rejected') throw failed.reason
  }

  private throwIfStopped (): void {
    if (this.isStopped) throw new Error('the agent stops')
  }
}
