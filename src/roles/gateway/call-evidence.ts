/** What one call says about the traits of its request: whether its upstream began an answer, or ended before. */
import { isPart, type CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import type { FailureTag } from '../../errors.js'
import type { Upstream } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import type { CallResult } from './upstream-call.js'

/** Failure of a request that is refused because of one of its traits, after `ran` calls whose upstreams may have run it; undefined if it is not. */
export function crashFailure (suspects: CrashSuspects, traits: readonly string[], ran: number): FailureTag | undefined {
  const trait = suspects.refusedTrait(traits, monotonicNow())
  if (trait === undefined) return undefined
  return ran > 0 ? 'upstream-lost' : isPart(trait) ? 'crashing-part' : 'crashing'
}

/** Evidence of one call. */
export class CallEvidence {
  /** Incarnation of the upstream that was called. */
  private readonly incarnation: string
  private status = 0
  private hasBegun = false

  constructor (private readonly suspects: CrashSuspects, private readonly traits: readonly string[], { id, startedAt }: Upstream) {
    this.incarnation = `${id}/${startedAt}`
  }

  recordHead (status: number): void {
    this.status = status
  }

  /** Records the first event or the complete answer; an error says nothing, as the upstream may not have begun on the prompt. */
  recordBegun (): void {
    if (this.status >= 300) return
    this.hasBegun = true
    this.suspects.recordBegun(this.traits, this.incarnation, monotonicNow())
  }

  /** Records how the call ended; a connection that was lost after the first event accuses nothing. */
  recordResult (result: CallResult): void {
    if (this.hasBegun || result.kind !== 'lost' || (result.reason !== 'reset' && result.reason !== 'incomplete')) return
    this.suspects.recordEnd(this.traits, this.incarnation, monotonicNow())
  }
}
