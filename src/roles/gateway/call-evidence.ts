/** What the calls of an entry say about the traits of their requests. */
import type { CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import { isPart } from '../../core/dispatch/request-traits.js'
import type { RunEnd, RunEvidence } from '../../core/dispatch/run-evidence.js'
import type { FailureTag } from '../../errors.js'
import type { Upstream } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import type { CallResult, LostReason } from './call-result.js'

/** Failure of a request that is refused because of one of its traits, after `ran` calls whose upstreams may have run it; undefined if it is not. */
export function crashFailure (suspects: CrashSuspects, traits: readonly string[], ran: number): FailureTag | undefined {
  const trait = suspects.refusedTrait(traits, monotonicNow())
  if (trait === undefined) return undefined
  return ran > 0 ? 'upstream-lost' : isPart(trait) ? 'crashing-part' : 'crashing'
}

/** What each kind of loss says about the upstream that ran the request. */
const endOfLoss: Readonly<Record<LostReason, RunEnd>> = {
  reset: 'cut',
  incomplete: 'cut',
  silent: 'unanswered',
  timeout: 'unanswered',
  cancelled: 'unanswered',
  'wrong-answer': 'unknown',
  'invalid-status': 'unknown',
  'invalid-head': 'unknown',
  'too-large': 'unknown',
  withdrawn: 'unknown'
}

/** Identity of one start of an upstream. */
export function incarnationOf ({ id, startedAt }: Upstream): string {
  return `${id}/${startedAt}`
}

/** Records how a call ended. */
export function recordCallEnd (evidence: RunEvidence, result: CallResult): void {
  const now = monotonicNow()
  if (result.kind === 'answer') evidence.recordAnswer(result.head.status, now)
  else if (result.kind === 'stream-ended') evidence.recordAnswer(200, now)
  else evidence.recordEnd(result.kind === 'lost' ? endOfLoss[result.reason] : 'unknown', now)
}
