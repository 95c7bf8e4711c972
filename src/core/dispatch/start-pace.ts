/**
 * Adaptive slow start of an upstream that has just started or recovered: how many requests of all entries may be in
 * progress there. The allowance doubles with each round of answers that come within the usual time, and falls when they
 * slow down, are refused or end. Load pattern: a service near its capacity with many entries, of which each sees few of
 * the upstream's answers; times in milliseconds of the monotonic clock.
 */

/** Why an upstream gets few requests at first. */
export type StartCause = 'start' | 'ejection' | 'unresponsiveness' | 'rest' | 'cut' | 'swap'

/** What changed an allowance last. */
export type PaceChange = 'began' | 'usual-answer' | 'slow-answer' | 'refused' | 'failed'

/** The start or recovery of one upstream, as one entry sees it. */
export interface StartPace {
  readonly cause: StartCause
  /** When it began; later than now while the upstream is still kept back by another rule. */
  readonly beganAt: number
  /** Requests of all entries that may be in progress there, as of `changedAt`. */
  readonly allowance: number
  readonly changedAt: number
  readonly change: PaceChange
  /** Allowance from which it grows by one a round instead of doubling: that of the last fall. */
  readonly threshold: number
  /** Shortest time to a first event since it began; undefined before the first. */
  readonly shortestMilliseconds: number | undefined
}

/** What an answer to a request that was sent at `sentAt` shows. */
export interface PaceAnswer {
  readonly sentAt: number
  readonly now: number
  /** Usual time to the first event at the service, milliseconds; undefined while it is not known. */
  readonly usualMilliseconds: number | undefined
}

/** Share of the slots with which a start or recovery begins: two doublings below all of them. A swap of weights leaves an engine as fast as before, so it begins one doubling below. */
const beginningShares: Readonly<Record<StartCause, number>> = { start: 0.25, ejection: 0.25, unresponsiveness: 0.25, rest: 0.25, cut: 0.25, swap: 0.5 }
/** Times the usual time from which an answer counts as slow; an upstream at half the usual speed stays below it. */
const slowFactor = 2.2
/** Share of the allowance that is left after a slow answer or a refusal. */
const fallShare = 0.5
/** Usual first events, and least time in milliseconds, after which an entry without answers of its own takes a round of the others' as over: their answers came and this entry heard of no fault. */
const quietRounds = { firstEvents: 2, minimumMilliseconds: 100 } as const
/** Usual time to a first event that is assumed before the first answer of a service, milliseconds. */
const assumedUsualMilliseconds = 100
/** Longest start or recovery, milliseconds: later the usual placement decides, as an overload of the whole service slows all answers. */
const maximumMilliseconds = 10_000
/** Weight of one answer in the running median of the usual time, as a share of it. */
const medianStep = 0.03

/** The beginning of a start or recovery of an upstream with `slots`, at `beganAt`. */
export function beginPace (cause: StartCause, slots: number, beganAt: number): StartPace {
  const allowance = Math.max(1, slots * beginningShares[cause])
  return { cause, beganAt, allowance, changedAt: beganAt, change: 'began', threshold: Infinity, shortestMilliseconds: undefined }
}

/** Usual time to a first event after one more, by a running median that a few slow answers hardly change. */
export function updateUsual (usual: number | undefined, milliseconds: number): number {
  if (usual === undefined) return milliseconds
  const step = Math.max(0.1, usual * medianStep)
  return Math.abs(milliseconds - usual) <= step ? milliseconds : usual + Math.sign(milliseconds - usual) * step
}

/**
 * Allowance now. An entry with no unanswered request there lets it grow with the time, since the answers that it sees are
 * few; one that waits for an answer lets that decide.
 */
export function allowanceAt (pace: StartPace, unstarted: number, usualMilliseconds: number | undefined, now: number): number {
  if (unstarted > 0 || now <= pace.changedAt) return pace.allowance
  const roundMilliseconds = Math.max(quietRounds.minimumMilliseconds, quietRounds.firstEvents * (usualMilliseconds ?? assumedUsualMilliseconds))
  const rounds = Math.floor((now - pace.changedAt) / roundMilliseconds)
  if (pace.allowance >= pace.threshold) return pace.allowance + rounds
  return Math.min(pace.threshold + rounds, pace.allowance * 2 ** Math.min(rounds, 20))
}

/** Whether a start or recovery is over: the upstream may have `limit` requests, or it has taken too long. */
export function isPaceOver (pace: StartPace, allowance: number, limit: number, now: number): boolean {
  return allowance >= limit || now - pace.beganAt >= maximumMilliseconds
}

/**
 * The pace after a first event. An answer counts as slow against the usual time of the service and against the shortest
 * time of this upstream: one that is always slower than the others is not kept at its beginning. Answers to requests that
 * were sent before the last change show nothing of it.
 */
export function paceAfterAnswer (pace: StartPace, { sentAt, now, usualMilliseconds }: PaceAnswer): StartPace {
  const waited = now - sentAt
  const expected = Math.max(usualMilliseconds ?? waited, pace.shortestMilliseconds ?? 0)
  const measured = { ...pace, shortestMilliseconds: Math.min(waited, pace.shortestMilliseconds ?? Infinity) }
  if (sentAt < pace.changedAt) return measured
  if (waited > expected * slowFactor) return fallen(measured, fallShare, 'slow-answer', now)
  const current = allowanceAt(pace, 0, usualMilliseconds, sentAt)
  const grown = current < pace.threshold ? Math.min(current * 2, Math.max(pace.threshold, current + 1)) : current + 1
  return { ...measured, allowance: grown, changedAt: now, change: 'usual-answer' }
}

/** The pace after a request that was sent at `sentAt` was refused. */
export function paceAfterRefusal (pace: StartPace, sentAt: number, now: number): StartPace {
  return sentAt < pace.changedAt ? pace : fallen(pace, fallShare, 'refused', now)
}

/** The pace after a call ended without an answer, or with an error of the upstream. */
export function paceAfterFailure (pace: StartPace, sentAt: number, now: number): StartPace {
  return sentAt < pace.changedAt && pace.change === 'failed' ? pace : fallen(pace, 0, 'failed', now)
}

/**
 * Part of an allowance that an entry may use where nobody sees the requests of all: of `entries`, the one of `rank` (from
 * 0). Ranks differ from upstream to upstream; below one request for each entry only the first ranks send.
 */
export function ownPart (allowance: number, rank: number, entries: number): number {
  const whole = Math.floor(allowance)
  const size = Math.max(1, entries)
  return Math.floor(whole / size) + (rank < whole % size ? 1 : 0)
}

function fallen (pace: StartPace, share: number, change: PaceChange, now: number): StartPace {
  const allowance = Math.max(1, pace.allowance * share)
  return { ...pace, allowance, threshold: Math.max(2, pace.allowance / 2), changedAt: now, change }
}
