/** One upstream as an entry sees it. */
import type { ReportedLoad } from '../../core/dispatch/free-slots.js'
import type { Health } from '../../core/dispatch/upstream-health.js'
import type { LoadedWeights, Upstream } from '../../types/fleet.js'

/** Age at which a load report no longer says what others send there, milliseconds: the usual time of a stream. */
const reportMilliseconds = 3000

/** What an upstream was last heard to be doing. */
export interface HeardLoad extends ReportedLoad {
  /** Steady milliseconds; 0 for never. */
  readonly at: number
}

/** Load of an upstream that was never heard. */
export const neverHeard: HeardLoad = { total: 0, local: 0, roundingOffset: 0, sent: 0, ended: 0, at: 0 }

/** One upstream with all that the entry knows of it. */
export interface UpstreamView {
  readonly upstream: Upstream
  readonly health: Health
  /** Requests of this entry there. */
  readonly inFlight: number
  /** Of these, requests whose answer has not begun. */
  readonly unstarted: number
  readonly heard: HeardLoad
  /** Steady milliseconds until which it is cold. */
  readonly coldUntil: number
  /** Steady milliseconds until which it counts as full, since it shed a request. */
  readonly fullUntil: number
  readonly weights: LoadedWeights | undefined
  readonly isChanging: boolean
  /** Steady milliseconds at which it is expected to serve; undefined when that is not known. */
  readonly readyAt: number | undefined
  /** Steady milliseconds until which it is used although its record was dropped; undefined while the record stands. */
  readonly keptUntil: number | undefined
}

/** Whether an upstream's load was heard lately. */
export function isHeard (view: UpstreamView, now: number): boolean {
  return view.heard.at > 0 && now - view.heard.at <= reportMilliseconds
}

/** Requests believed to be at an upstream: this entry's own, and the others' as last heard, else as many as its own. */
export function loadOf (view: UpstreamView, now: number): number {
  const { total, local: own } = view.heard
  return view.inFlight + (isHeard(view, now) ? Math.max(0, total - own) : view.inFlight)
}

/** A record is older than an agent's report; it never takes the version back. */
export function newerWeights (known: LoadedWeights | undefined, recorded: LoadedWeights | undefined): LoadedWeights | undefined {
  if (known === undefined) return recorded
  if (recorded === undefined) return known
  return recorded.version >= known.version ? recorded : known
}
