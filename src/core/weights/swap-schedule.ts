/** When an engine stops taking requests for a swap of its weights, and how its running requests end. */
import { rankMembers } from '../../utils/rendezvous.js'

/** Another engine of the service, as its agent last reported. */
export interface EnginePeer {
  readonly ip: string
  /** Weights version that it serves; 0 for none. */
  readonly served: number
  readonly isSwapping: boolean
}

/** Input of the swap schedule; all times are milliseconds of the monotonic clock. */
export interface SwapScheduleView {
  /** IP address of this engine. */
  readonly self: string
  /** Weights version that this engine serves; 0 for none. */
  readonly served: number
  /** Weights version to swap to. */
  readonly wanted: number
  readonly peers: readonly EnginePeer[]
  /** When the local copy of the wanted version was complete, or is expected to be. */
  readonly completeAt: number
  /** From when on no request may start on older weights. */
  readonly cutoffAt: number
}

/** Time before the cutoff from which entries send only to engines with the named version, milliseconds: a request may wait that long in an upstream's queue. */
export const cutoffLeadMilliseconds = 1000
/** Typical duration of a swap, milliseconds: draining the running requests, then loading. */
const swapMilliseconds = 1500
/** Time before the copy is complete at which the first engine starts to drain, milliseconds: its running requests finish meanwhile. */
const drainLeadMilliseconds = 700
/** Share of the engines that swap at the same time if the cutoff leaves enough time. */
const unavailableShare = 0.25
/** Requests that may be cut while the engine drains: entries resume their streams on another engine. */
const maximumCutRequests = 2
/** Requests that may be cut once the drain timeout has passed; resuming more of them would overload the other engines. */
const maximumCutRequestsAfterTimeout = 5
/** Time that an entry needs to resume a stream on another engine, milliseconds. */
const resumeMilliseconds = 200
/** Timeout for draining the running requests, milliseconds: most streams end sooner. */
const drainTimeoutMilliseconds = 1000

/**
 * Monotonic time in milliseconds at which an engine stops taking requests. An engine without weights swaps as soon as
 * its copy is complete. The others start one after another, spaced evenly up to the cutoff, so that as few as possible
 * are unavailable at the same time.
 */
export function swapStartAt (view: SwapScheduleView): number {
  if (view.served === 0) return view.completeAt
  const firstAt = view.completeAt - drainLeadMilliseconds
  const serving = view.peers.filter(({ served }) => served > 0)
  const members = [view.self, ...serving.map(({ ip }) => ip)]
  const rank = rankMembers(String(view.wanted), members).indexOf(view.self)
  const window = Math.max(0, view.cutoffAt - cutoffLeadMilliseconds - firstAt)
  const defaultInterval = swapMilliseconds / Math.max(1, members.length * unavailableShare)
  return firstAt + rank * Math.min(window / members.length, defaultInterval)
}

/** How the running requests end when the engine is ordered to swap: `cut` ends their streams, `wait` lets them finish. */
export type DrainMode = 'cut' | 'wait'

/**
 * Drain mode of the swap order for an engine that has taken no requests since `drainStartedAt`; undefined while it
 * should keep draining. Streams are cut only when few are left and another engine can resume them.
 */
export function drainModeOf (view: SwapScheduleView, running: number, drainStartedAt: number, now: number): DrainMode | undefined {
  if (running === 0) return 'wait'
  const isTimedOut = now >= drainStartedAt + drainTimeoutMilliseconds
  if (running <= (isTimedOut ? maximumCutRequestsAfterTimeout : maximumCutRequests) && hasAlternativeEngine(view, now)) return 'cut'
  return isTimedOut ? 'wait' : undefined
}

/** Whether another engine can resume streams: it serves the wanted version, or an older one that is still allowed long enough. */
function hasAlternativeEngine (view: SwapScheduleView, now: number): boolean {
  const isOlderVersionAllowed = now < view.cutoffAt - cutoffLeadMilliseconds - resumeMilliseconds
  return view.peers.some(({ served, isSwapping }) => !isSwapping && (served >= view.wanted || (served > 0 && isOlderVersionAllowed)))
}

/** Progress of fetching a version. */
export interface FetchProgress {
  /** Number of chunks that are held. */
  readonly held: number
  readonly total: number
  /** Monotonic time at which the fetch began, milliseconds. */
  readonly startedAt: number
}

/** Extrapolated monotonic time at which the copy is complete, milliseconds; undefined until `minimumShare` of its chunks is held. */
export function expectedCompletionAt (progress: FetchProgress, now: number, minimumShare: number): number | undefined {
  if (progress.total === 0 || progress.held < progress.total * minimumShare) return undefined
  return progress.startedAt + (now - progress.startedAt) * progress.total / progress.held
}
