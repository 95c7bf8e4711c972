/** What is put into and comes out of a replay of load. */
import type { ReportedLoad } from '../../src/core/dispatch/free-slots.js'
import type { AdmissionLimits } from '../../src/core/dispatch/placement.js'

/** Arrivals from a time on. */
export interface LoadStep {
  readonly from: number
  readonly arrivalsPerSecond: number
}

/** Load of a replay. */
export interface ReplayLoad {
  readonly seed: number
  readonly engines: number
  readonly entries: number
  readonly arrivalsPerSecond: number
  /** Changes of the arrivals, by the time from which each holds. */
  readonly steps?: readonly LoadStep[]
  /** Time in which requests arrive. */
  readonly milliseconds: number
  /** Slots of each engine. */
  readonly slots?: number
  /** Time between two load reports to an entry; agents count their engine's requests more often. */
  readonly reportMilliseconds?: number
  /** Time in which no engine serves; entries may know its end. */
  readonly outage?: { readonly from: number, readonly until: number, readonly isEndKnown: boolean }
  /** Whether expected times decide on refusals. */
  readonly isAdaptive?: boolean
  /** Whether entries ask agents for each slot, or use their share of the slots that were free at the last report. */
  readonly placement?: 'grants' | 'shares'
}

/** Numbers of requests by what their callers got. */
export interface ReplayOutcome {
  /** All requests, retries not counted. */
  readonly requests: number
  /** First event within the goal. */
  readonly onTime: number
  /** First event later, or on the retry. */
  readonly late: number
  /** Refused, retry or not. */
  readonly refusedOnce: number
  /** Refused, and refused again on the retry. */
  readonly refusedTwice: number
  /** Longest time for which a queued request was not offered to an upstream. */
  readonly longestUnoffered: number
  /** Longest time for which a request waited that was refused in the end. */
  readonly longestInVain: number
  /** Most attempts, retries included, that arrived within one second after the last step, a second. */
  readonly peakAfterSteps: number
  /** First attempts refused for want of a slot while over a tenth of all slots were free. */
  readonly refusedBesideFreeSlots: number
  /** Messages between entries and agents for slots. */
  readonly messages: number
}

/** Outcomes of replays of the same load under several seeds: sums, and the largest of the longest and of the peaks. */
export function sumOutcomes (outcomes: readonly ReplayOutcome[]): ReplayOutcome {
  return outcomes.reduce((sum, outcome) => ({
    requests: sum.requests + outcome.requests,
    onTime: sum.onTime + outcome.onTime,
    late: sum.late + outcome.late,
    refusedOnce: sum.refusedOnce + outcome.refusedOnce,
    refusedTwice: sum.refusedTwice + outcome.refusedTwice,
    refusedBesideFreeSlots: sum.refusedBesideFreeSlots + outcome.refusedBesideFreeSlots,
    messages: sum.messages + outcome.messages,
    longestInVain: Math.max(sum.longestInVain, outcome.longestInVain),
    longestUnoffered: Math.max(sum.longestUnoffered, outcome.longestUnoffered),
    peakAfterSteps: Math.max(sum.peakAfterSteps, outcome.peakAfterSteps)
  }))
}

/** Most of some times, in ascending order, within one second. */
export function peakOf (times: readonly number[]): number {
  let [most, first] = [0, 0]
  times.forEach((at, index) => {
    while ((times[first] ?? at) <= at - 1000) first += 1
    most = Math.max(most, index - first + 1)
  })
  return most
}

/** Decisions that a test can replace to compare them with others. */
export interface ReplayPolicy {
  admit (isLate: boolean, waitMilliseconds: number): AdmissionLimits
  /** Requests that an entry may send to an engine that handles `limit`. */
  freeSlots (limit: number, reported: ReportedLoad, entries: number): number
}
