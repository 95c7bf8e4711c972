/** How fast each upstream works now, from what it states and from what calls measure; times in milliseconds of the monotonic clock. */

/** A pace that an upstream stated: how long its work takes, 1 for as long as usual. */
export interface StatedPace {
  readonly value: number
  /** When it was stated. */
  readonly at: number
}

/** Requests of other entries at an upstream, as of the last message that stated its load. */
interface OthersLoad {
  readonly requests: number
  readonly at: number
  /** Mean over the last messages. */
  readonly usual: number
}

/** What is known of one incarnation of an upstream. */
interface PaceState {
  /** Epoch milliseconds. */
  readonly startedAt: number
  readonly stated: StatedPace | undefined
  /** Mean of the stated paces, each counted for the time until the next one. */
  readonly usual: number
  /** Time for which paces were stated, milliseconds. */
  readonly statedMilliseconds: number
  /** Measured time divided by the computed one, by the logarithm of their quotient; undefined before the first call. */
  readonly measured: number | undefined
  readonly measurements: number
  readonly others: OthersLoad | undefined
}

/** Time after which a stated pace says nothing any more, milliseconds: work beside an upstream changes about this often. */
export const paceChangeMilliseconds = 600
/** Time over which the usual pace is learnt, milliseconds: many changes. */
const usualMilliseconds = 12_000
/** Largest factor between a stated pace and the usual one that is believed; measured times already contain what a constant error of the stated pace adds. */
const maximumDeviation = 4
/** Least share of a new measurement in the mean: about the last ten calls count. */
const measurementShare = 0.1
/** Measurements that the value expected before the first one counts for: a single call may have waited for reasons of its own. */
const priorMeasurements = 2
/** Largest change by one measurement, as a factor, since a call may have waited for reasons of its own. */
const maximumQuotient = 8

/** Largest pace that is believed at all; a larger one counts as not stated. */
export const maximumStatedPace = 100
/** Least difference from a known pace, as a share of it, that is worth a message to others. */
const reportedDifference = 0.1
/** Statements of one value within this time count as one, milliseconds: the ages in messages are late by their way. */
const sameStatementMilliseconds = 50
/** Share of a new load in the usual one. */
const loadShare = 0.1

/** State before anything is known. */
const unknownState: PaceState = { startedAt: 0, stated: undefined, usual: 1, statedMilliseconds: 0, measured: undefined, measurements: 0, others: undefined }

/** Whether others who last knew `known` are to be told a pace. Once their knowledge has decayed, neither the pace that an upstream calls usual nor the one learnt for it is news. */
export function isNewsOf (pace: number, known: StatedPace | undefined, usual: number, now: number): boolean {
  const differs = (reference: number): boolean => Math.abs(pace - reference) > reference * reportedDifference
  if (known === undefined || now - known.at >= paceChangeMilliseconds) return differs(usual) && differs(1)
  return differs(expectedPace(known, usual, now))
}

/** Expected pace of an upstream: the stated one, which decays to the usual one within a change interval. */
export function expectedPace (stated: StatedPace | undefined, usual: number, now: number): number {
  if (stated === undefined) return usual
  const weight = Math.max(0, 1 - Math.max(0, now - stated.at) / paceChangeMilliseconds)
  return usual + (stated.value - usual) * weight
}

/**
 * Paces and measured times of the upstreams of one entry. Load pattern: upstreams that share their machines with other
 * workloads, so that each is slow for a part of the time that is shorter than the time between two answers to one entry.
 */
export class UpstreamPaces {
  private readonly states = new Map<string, PaceState>()

  /** Records a pace that an upstream stated to others, as their message says. It teaches nothing of the usual pace, since mostly unusual ones are passed on. */
  observeRelayed (id: string, startedAt: number, stated: StatedPace): void {
    const state = this.stateOf(id, startedAt)
    const last = state.stated
    if (last !== undefined && stated.at <= last.at + (stated.value === last.value ? sameStatementMilliseconds : 0)) return
    this.states.set(id, { ...state, stated: { value: bounded(stated.value, state.usual), at: stated.at } })
  }

  /** Records a pace that an upstream stated to this entry at `at`; an older one than the last is ignored. */
  observe (id: string, startedAt: number, stated: StatedPace): void {
    const state = this.stateOf(id, startedAt)
    if (state.stated !== undefined && stated.at <= state.stated.at) return
    const sinceLast = state.stated === undefined ? paceChangeMilliseconds : Math.min(paceChangeMilliseconds, stated.at - state.stated.at)
    const statedMilliseconds = Math.min(usualMilliseconds, state.statedMilliseconds + sinceLast)
    const value = bounded(stated.value, state.usual)
    const usual = state.usual + (value - state.usual) * sinceLast / (usualMilliseconds / 4 + statedMilliseconds)
    this.states.set(id, { ...state, stated: { value, at: stated.at }, usual, statedMilliseconds })
  }

  /** Records that work took `quotient` times as long as computed for the stated pace; `prior` was expected before the first measurement. */
  recordMeasured (id: string, startedAt: number, quotient: number, prior: number): void {
    if (!(quotient > 0 && Number.isFinite(quotient))) return
    const state = this.stateOf(id, startedAt)
    const known = state.measured ?? prior
    const measurements = state.measurements + 1
    const share = Math.max(measurementShare, 1 / (measurements + priorMeasurements))
    this.states.set(id, { ...state, measurements, measured: known * Math.min(Math.max(quotient / known, 1 / maximumQuotient), maximumQuotient) ** share })
  }

  /** Pace expected at `now`; 1 while an upstream has stated none. */
  paceOf (id: string, startedAt: number, now: number): number {
    const state = this.stateOf(id, startedAt)
    return expectedPace(state.stated, state.usual, now)
  }

  /** Pace expected at `now` and the measured factor, undefined before the first call. */
  estimateOf (id: string, startedAt: number, now: number): { readonly pace: number, readonly measured: number | undefined } {
    const { stated, usual, measured } = this.stateOf(id, startedAt)
    return { pace: expectedPace(stated, usual, now), measured }
  }

  /** The usual pace of an upstream; 1 while it has stated none. */
  usualOf (id: string, startedAt: number): number {
    return this.stateOf(id, startedAt).usual
  }

  /** The last pace that an upstream stated. */
  statedBy (id: string, startedAt: number): StatedPace | undefined {
    return this.stateOf(id, startedAt).stated
  }

  /** How many times as long as computed work takes at an upstream; undefined before the first call. */
  measuredAt (id: string, startedAt: number): number | undefined {
    return this.stateOf(id, startedAt).measured
  }

  /** Records that `requests` of other entries were at an upstream at `at`. */
  observeOthers (id: string, startedAt: number, requests: number, at: number): void {
    const state = this.stateOf(id, startedAt)
    const usual = state.others === undefined ? requests : state.others.usual + (requests - state.others.usual) * loadShare
    this.states.set(id, { ...state, others: { requests, at, usual } })
  }

  /** Requests of other entries that are expected at an upstream, whose requests take `workMilliseconds`: the last number decays to the usual one while these end. Undefined while none is known. */
  othersAt (id: string, startedAt: number, workMilliseconds: number, now: number): number | undefined {
    const { others } = this.stateOf(id, startedAt)
    return others === undefined ? undefined : others.usual + (others.requests - others.usual) * Math.exp(-(now - others.at) / workMilliseconds)
  }

  /** Deletes what is known of an upstream that was removed. */
  forget (id: string): void {
    this.states.delete(id)
  }

  private stateOf (id: string, startedAt: number): PaceState {
    const state = this.states.get(id)
    return state?.startedAt === startedAt ? state : { ...unknownState, startedAt }
  }
}

/** A stated pace within what is believed of an upstream with this usual pace. */
function bounded (pace: number, usual: number): number {
  return Math.min(Math.max(pace, usual / maximumDeviation), usual * maximumDeviation)
}
