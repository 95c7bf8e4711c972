/** State of one upstream as one entry knows it; times are milliseconds of the monotonic clock. */
import type { ReportedLoad } from '../../core/dispatch/free-slots.js'
import type { Health } from '../../core/dispatch/upstream-health.js'
import type { LoadedWeights, Upstream, VouchedLoad } from '../../types/fleet.js'

/** Age from which an observed load no longer shows what other entries send there, milliseconds: about the length of a stream. */
const maximumReportAgeMilliseconds = 3000

/** Load of an upstream as its agent or its last answer reported it. */
export interface ObservedLoad extends ReportedLoad {
  /** When it was received; 0 for never. */
  readonly at: number
}

/** Load of an upstream before the first report or answer. */
export const unobservedLoad: ObservedLoad = { total: 0, local: 0, roundingOffset: 0, sent: 0, ended: 0, at: 0 }

/** One upstream with its health, load and weights. */
export interface UpstreamView {
  readonly upstream: Upstream
  readonly health: Health
  /** Requests of this entry in progress there. */
  readonly inFlight: number
  /** Of these, requests whose answer has not begun. */
  readonly unstarted: number
  readonly observedLoad: ObservedLoad
  /** Until when it is cold and gets requests at a limited rate. */
  readonly coldUntil: number
  /** Until when it counts as at capacity because it refused a request. */
  readonly atCapacityUntil: number
  /** Weights that it serves; undefined for none and for upstreams without weights. */
  readonly weights: LoadedWeights | undefined
  /** Weights version of the last report of its agent; undefined for none. Unlike `weights` it is never taken from a record. */
  readonly reportedVersion: number | undefined
  /** Whether its agent has reported on this incarnation; from then on its record tells nothing of its weights, as a record also names those for which no agent vouches. */
  readonly isReported: boolean
  /** The last load for which its agent vouched, by a report that it accepts requests; undefined for none. */
  readonly vouched: VouchedLoad | undefined
  /** Whether it takes no requests because its weights are being swapped. */
  readonly isSwapping: boolean
  /** When it is expected to serve; undefined when that is not known. */
  readonly readyAt: number | undefined
  /** Until when it is used although its record was removed; undefined while the record exists. */
  readonly retainedUntil: number | undefined
}

/** Whether the observed load is recent enough to show what other entries send there. */
export function isLoadRecent (view: UpstreamView, now: number): boolean {
  return view.observedLoad.at > 0 && now - view.observedLoad.at <= maximumReportAgeMilliseconds
}

/** Estimated number of requests at an upstream: those of this entry, and those of the others as last observed; without a recent observation the others are taken to have as many as this entry. */
export function estimateLoad (view: UpstreamView, now: number): number {
  const { total, local } = view.observedLoad
  return view.inFlight + (isLoadRecent(view, now) ? Math.max(0, total - local) : view.inFlight)
}

/** Load as a share of the slots of some upstreams, 0 to 1; 1 where there are no slots. */
export function loadShareOf (views: readonly UpstreamView[], now: number): number {
  const slots = views.reduce((sum, { upstream }) => sum + upstream.slots, 0)
  const load = views.reduce((sum, view) => sum + Math.min(view.upstream.slots, estimateLoad(view, now)), 0)
  return slots === 0 ? 1 : load / slots
}

/** Whether an upstream serves weights of at least a version; undefined for a service without weights. */
export function hasWeights ({ isSwapping, weights }: UpstreamView, minimumVersion: number | undefined): boolean {
  return minimumVersion === undefined || (!isSwapping && weights !== undefined && weights.version >= minimumVersion)
}

/** The newer of two weights. A record may be older than an agent's report, so a lower version in a record is ignored. */
export function newerWeights (known: LoadedWeights | undefined, recorded: LoadedWeights | undefined): LoadedWeights | undefined {
  if (known === undefined) return recorded
  if (recorded === undefined) return known
  return recorded.version >= known.version ? recorded : known
}

/** IP of an address, `ip:port`. */
export function ipOf (address: string): string {
  return address.split(':')[0] ?? ''
}

/** Ids of the engines by the IP of their machine. */
export function engineIdsByIp (views: readonly UpstreamView[]): ReadonlyMap<string, readonly string[]> {
  const ids = new Map<string, string[]>()
  for (const { upstream } of views) {
    if (!upstream.isEngine) continue
    const ip = ipOf(upstream.address)
    const known = ids.get(ip)
    if (known === undefined) ids.set(ip, [upstream.id])
    else known.push(upstream.id)
  }
  return ids
}
