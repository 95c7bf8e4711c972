/** When an engine stops taking requests to change its weights, and how it ends those that run. */
import { rankMembers } from '../../utils/rendezvous.js'

/** An engine of the service, as its agent last told. */
export interface EnginePeer {
  readonly ip: string
  /** Version that it serves whole; 0 for none. */
  readonly served: number
  readonly isSwapping: boolean
}

/** What the decision looks at. */
export interface SwapScheduleView {
  readonly self: string
  /** Version that the own engine serves whole; 0 for none. */
  readonly served: number
  readonly wanted: number
  readonly peers: readonly EnginePeer[]
  /** Steady milliseconds at which the wanted version was whole here, or is expected to be. */
  readonly completeAt: number
  /** Steady milliseconds from which requests no longer begin on older weights. */
  readonly cutoffAt: number
}

/** Time before the bound from which entries send only to the named weights, milliseconds: an upstream's queue may hold a request that long. */
export const cutoffLeadMilliseconds = 1000
/** Usual time of a change, milliseconds: requests that run, then the load (quiet-1 of khakhi-patrak). */
const swapMilliseconds = 1500
/** Time before the copy is whole at which the first engine stops taking requests, milliseconds: those that run end meanwhile. */
const drainLeadMilliseconds = 700
/** Part of the engines that are away at once where the bound leaves time. */
const unavailableShare = 0.25
/** Requests that may still run when the engine is ordered to change: entries go on with their streams elsewhere. */
const maximumCutRequests = 2
/** Requests that may still run once the wait for them is over; more of them would load the other engines too much. */
const maximumCutRequestsAfterTimeout = 5
/** Time in which an entry goes on with a stream elsewhere, milliseconds. */
const resumeMilliseconds = 200
/** Longest wait for running requests, milliseconds: most streams take less. */
const drainTimeoutMilliseconds = 1000

/**
 * Steady milliseconds at which an engine stops taking requests. One that serves nothing starts at once; the others
 * start one after the other, evenly until the bound, so that as few as possible are away at a time.
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

/** What an order to change does with requests that run. */
export type DrainMode = 'cut' | 'wait'

/**
 * How an engine that takes no requests since `closedAt` is ordered to change at `now`; undefined while it should wait.
 * Streams are cut only when few are left and another engine can go on with them.
 */
export function drainModeOf (view: SwapScheduleView, running: number, drainStartedAt: number, now: number): DrainMode | undefined {
  if (running === 0) return 'wait'
  const isTimedOut = now >= drainStartedAt + drainTimeoutMilliseconds
  if (running <= (isTimedOut ? maximumCutRequestsAfterTimeout : maximumCutRequests) && hasAlternativeEngine(view, now)) return 'cut'
  return isTimedOut ? 'wait' : undefined
}

/** Whether some engine serves the wanted version, or an older one for a while. */
function hasAlternativeEngine (view: SwapScheduleView, now: number): boolean {
  const isOlderVersionAllowed = now < view.cutoffAt - cutoffLeadMilliseconds - resumeMilliseconds
  return view.peers.some(({ served, isSwapping: isChanging }) => !isChanging && (served >= view.wanted || (served > 0 && isOlderVersionAllowed)))
}

/** Progress of a fetch. */
export interface FetchProgress {
  readonly held: number
  readonly total: number
  /** Steady milliseconds at which the fetch began. */
  readonly startedAt: number
}

/** Steady milliseconds at which a copy is expected to be whole; undefined before `leastPart` of it is held. */
export function expectedCompletionAt (progress: FetchProgress, now: number, minimumShare: number): number | undefined {
  if (progress.total === 0 || progress.held < progress.total * minimumShare) return undefined
  return progress.startedAt + (now - progress.startedAt) * progress.total / progress.held
}
