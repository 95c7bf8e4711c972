/** One upstream as an entry sees it. */
import type { ReportedLoad } from '../../core/dispatch/free-slots.js'
import type { Health } from '../../core/dispatch/upstream-health.js'
import type { LoadedWeights, Upstream } from '../../types/fleet.js'

/** Age at which a load report no longer says what others send there, milliseconds: the usual time of a stream. */
const maximumReportAgeMilliseconds = 3000

/** What an upstream was last heard to be doing. */
export interface ObservedLoad extends ReportedLoad {
  /** Steady milliseconds; 0 for never. */
  readonly at: number
}

/** Load of an upstream that was never heard. */
export const unobservedLoad: ObservedLoad = { total: 0, local: 0, roundingOffset: 0, sent: 0, ended: 0, at: 0 }

/** One upstream with all that the entry knows of it. */
export interface UpstreamView {
  readonly upstream: Upstream
  readonly health: Health
  /** Requests of this entry there. */
  readonly inFlight: number
  /** Of these, requests whose answer has not begun. */
  readonly unstarted: number
  readonly observedLoad: ObservedLoad
  /** Steady milliseconds until which it is cold. */
  readonly coldUntil: number
  /** Steady milliseconds until which it counts as full, since it shed a request. */
  readonly atCapacityUntil: number
  readonly weights: LoadedWeights | undefined
  readonly isSwapping: boolean
  /** Steady milliseconds at which it is expected to serve; undefined when that is not known. */
  readonly readyAt: number | undefined
  /** Steady milliseconds until which it is used although its record was dropped; undefined while the record stands. */
  readonly retainedUntil: number | undefined
}

/** Whether an upstream's load was heard lately. */
export function isLoadRecent (view: UpstreamView, now: number): boolean {
  return view.observedLoad.at > 0 && now - view.observedLoad.at <= maximumReportAgeMilliseconds
}

/** Requests believed to be at an upstream: this entry's own, and the others' as last heard, else as many as its own. */
export function estimateLoad (view: UpstreamView, now: number): number {
  const { total, local: own } = view.observedLoad
  return view.inFlight + (isLoadRecent(view, now) ? Math.max(0, total - own) : view.inFlight)
}

/** A record is older than an agent's report; it never takes the version back. */
export function newerWeights (known: LoadedWeights | undefined, recorded: LoadedWeights | undefined): LoadedWeights | undefined {
  if (known === undefined) return recorded
  if (recorded === undefined) return known
  return recorded.version >= known.version ? recorded : known
}
