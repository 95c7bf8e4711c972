/** Decisions while several upstreams may answer one request: when to ask another one beside those that are silent, and which call answers. */
import { countAttempts, isRepeatable, nextStep, type RequestProgress } from './next-step.js'

/** A call in progress; a silent one has sent nothing for a while and may go on. */
export interface OpenCall {
  readonly isSilent: boolean
}

/**
 * Whether another upstream may be asked now. Silent calls are left open, as a healthy upstream may pause: the first one
 * to go on answers. Each of them counts as one that may have run, and so do the `ended` calls that `progress` does not
 * count yet: several may end at once.
 */
export function mayTakeOver (progress: RequestProgress, calls: readonly OpenCall[], ended: number): boolean {
  if (calls.length === 0 || !calls.every(({ isSilent }) => isSilent)) return false
  return nextStep({ ...progress, ran: progress.ran + calls.length + ended }).kind === 'resend'
}

/** What a call left: an answer for the caller (`usable`), one that is an error or does not continue the caller's stream (`error`), or none. */
export type CallYield = 'usable' | 'error' | 'none'

/** What follows from the end of a call: its answer is delivered, other calls may still answer, or another call is to be decided on. */
export type EndStep = 'deliver' | 'await-others' | 'decide'

/** Step after the end of a call while `others` are in progress; `progress` does not count the call. */
export function stepAfterEnd (progress: RequestProgress, yielded: CallYield, others: number): EndStep {
  if (yielded === 'usable') return 'deliver'
  if (others > 0) return 'await-others'
  if (yielded === 'none') return 'decide'
  const isLast = !isRepeatable(progress.route) || countAttempts(progress) + 1 >= progress.route.maximumUpstreams || progress.isPastDeadline
  return isLast ? 'deliver' : 'decide'
}
