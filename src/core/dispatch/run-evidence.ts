/** What one run of a request says about its traits: that its upstream outlived it, or ended by it. Times are milliseconds of the monotonic clock. */
import type { CrashSuspects } from './crash-suspects.js'
import { suspectedAfterFirstEvent, clearedByFirstEvent } from './request-traits.js'
import type { TrackedRun, UnprovedRuns } from './unproved-runs.js'

/** A run proves its request healthy once it has gone on for this long after its first event, milliseconds: upstreams that end by a request do so within a second of it. */
const provingMilliseconds = 1200

/** How a run ended without a complete answer: its connection was lost (`cut`), nothing came of it in time (`unanswered`), or in a way that says nothing (`unknown`). */
export type RunEnd = 'cut' | 'unanswered' | 'unknown'

/** Evidence of one run at an upstream incarnation. */
export class RunEvidence {
  private readonly run: TrackedRun
  private begunAt: number | undefined
  private isProved = false

  constructor (private readonly suspects: CrashSuspects, unproved: UnprovedRuns, private readonly traits: readonly string[], private readonly upstream: string, sentAt: number) {
    this.run = unproved.begin(traits, upstream, sentAt)
  }

  /** Records bytes of the answer. */
  recordBytes (now: number): void {
    if (this.isProved) return
    this.run.recordBytes(now)
    if (this.begunAt !== undefined && now - this.begunAt >= provingMilliseconds) this.prove(now)
  }

  /** Records the first event of a stream: the upstream runs, but may still end by this request. */
  recordFirstEvent (now: number): void {
    if (this.begunAt !== undefined) return
    this.begunAt = now
    this.run.narrow(suspectedAfterFirstEvent(this.traits))
    this.suspects.recordEvent(this.upstream, now)
    this.suspects.recordProof(clearedByFirstEvent(this.traits), now)
  }

  /** Records a complete answer; an error proves nothing, as the upstream may end right after it. */
  recordAnswer (status: number, now: number): void {
    this.run.recordBytes(now)
    if (status >= 500) this.run.close(now)
    else if (status >= 300) this.run.settle(now)
    else {
      this.suspects.recordEvent(this.upstream, now)
      this.prove(now)
    }
  }

  /** Records that the upstream closed the connection right after its complete error. */
  recordLostAfterError (now: number): void {
    this.run.cut(now)
  }

  /** Records that the run ended without a complete answer. */
  recordEnd (end: RunEnd, now: number): void {
    if (this.isProved) return
    if (end === 'cut') this.run.cut(now)
    else if (end === 'unanswered') this.run.close(now)
    else this.run.settle(now)
  }

  /** Traits against which an end of the upstream counts now, and which a proof clears. */
  private get suspected (): readonly string[] {
    return this.begunAt === undefined ? this.traits : suspectedAfterFirstEvent(this.traits)
  }

  private prove (now: number): void {
    if (this.isProved) return
    this.isProved = true
    this.run.settle(now)
    this.suspects.recordProof(this.suspected, now)
  }
}
