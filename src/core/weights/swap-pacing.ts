/** How many instances of a pool may be unavailable for a swap of weights at the same time, and which one is next. */
import { rankMembers } from '../../utils/rendezvous.js'

/** Swap state of an instance: `intending` is announced before the peers are polled, `away` means that the engine is unavailable while its weights change. */
export type SwapState = 'idle' | 'intending' | 'away'

/** Another instance of the pool, as of its last answer. */
export interface SwapPeer {
  readonly instance: string
  /** Whether it is also to serve the wanted weights. */
  readonly wants: boolean
  /** Digest of the manifest that its engine serves, empty for none. */
  readonly served: string
  readonly swap: SwapState
  /** Requests in flight. */
  readonly inFlight: number
  /** Concurrency limit. */
  readonly limit: number
  /** Duration of its last swap, milliseconds; 0 before the first. */
  readonly changeMilliseconds: number
}

/** Input of the pacing. */
export interface PaceView {
  /** Epoch milliseconds. */
  readonly now: number
  /** Epoch milliseconds by which the rollout should end. */
  readonly finishBy: number
  /** What the deployment favours: replicas that are up to date soon, or uninterrupted service. */
  readonly weighting: 'replicas' | 'service'
  /** Instances of the pool that answer. */
  readonly size: number
  /** Instances among them that do not serve the wanted weights yet. */
  readonly remaining: number
  /** Instances that are unavailable now. */
  readonly away: number
  /** Requests in flight in the pool. */
  readonly inFlight: number
  /** Sum of the concurrency limits of the serving instances. */
  readonly limit: number
  /** Largest of these limits: the next swap removes at most that much capacity. */
  readonly largestLimit: number
  /** Typical duration of a swap, milliseconds. */
  readonly changeMilliseconds: number
}

/** Maximum share of a pool that is unavailable while no deadline forces more. */
const voluntaryShare = { replicas: 0.5, service: 0.25 } as const
/** Maximum share of a pool that a deadline can force to be unavailable. */
const forcedShare = { replicas: 1, service: 0.5 } as const
/** Instances that may be unavailable under any load: `replicas` favours time over capacity, `service` does not. */
const minimumAllowed = { replicas: 1, service: 0 } as const
/** Lower bound of the swap duration that is assumed before a deadline, milliseconds. */
const minimumSwapMilliseconds = 1500
/** Time reserved for each swap before a deadline, as a multiple of its typical duration. */
const deadlineMarginFactor = 4
/** Spare capacity in standard deviations of the requests in flight, whose number is close to a Poisson distribution. */
const spareDeviations = { replicas: 1, service: 2 } as const

/** Instances that may be unavailable at the same time. Beyond the minimum, the pool keeps the capacity that its load needs, unless the deadline forces more swaps. */
export function maximumUnavailable (view: PaceView): number {
  const shareLimit = Math.max(1, Math.floor(view.size * voluntaryShare[view.weighting]))
  const needed = view.inFlight + spareDeviations[view.weighting] * Math.sqrt(view.inFlight)
  const additional = Math.floor((view.limit - needed) / Math.max(1, view.largestLimit))
  const allowedByLoad = Math.max(minimumAllowed[view.weighting], Math.min(shareLimit, view.away + additional))
  return Math.max(allowedByLoad, forcedUnavailable(view, shareLimit))
}

/** Instances that must swap at the same time for the rollout to end by its deadline; 0 while even swaps one at a time need not begin yet. */
function forcedUnavailable (view: PaceView, shareLimit: number): number {
  const rounds = Math.floor((view.finishBy - view.now) / (Math.max(minimumSwapMilliseconds, view.changeMilliseconds) * deadlineMarginFactor))
  if (rounds > view.remaining) return 0
  const maximum = Math.max(shareLimit, Math.floor((view.size - 1) * forcedShare[view.weighting]))
  if (rounds < 1) return Math.min(view.remaining, shareLimit)
  return Math.min(maximum, Math.ceil(view.remaining / rounds))
}

/** View of a swap from one instance. */
export interface SwapView {
  readonly instance: string
  /** Digest of the manifest that this instance's engine serves, empty for none. */
  readonly served: string
  readonly swap: SwapState
  /** Digest of the manifest to swap to. */
  readonly wanted: string
  /** Other instances of the pool that answered; while `intending`, only with answers given after the announcement. */
  readonly peers: readonly SwapPeer[]
  /** Instances that may be unavailable at the same time. */
  readonly allowed: number
  /** Whether this instance has waited so long that it announces out of order. */
  readonly isOverdue: boolean
}

/** Next step of an instance: `start` swaps, `intend` announces, `withdraw` takes the announcement back. */
export type SwapStep = 'start' | 'intend' | 'withdraw' | 'wait'

/**
 * Decides the next step. An instance announces before it polls its peers, so all that announce later see it: of any
 * `allowed + 1` instances, the last one to announce sees the others and does not start.
 */
export function nextSwapStep (view: SwapView): SwapStep {
  if (view.served === '') return 'start'
  if (view.swap === 'idle') return mayAnnounce(view) ? 'intend' : 'wait'
  const others = view.peers.filter(peer => peer.swap !== 'idle')
  if (others.length < view.allowed) return 'start'
  const order = rankMembers(view.wanted, [view.instance, ...others.map(peer => peer.instance)])
  const isFirst = others.every(peer => peer.swap === 'away' || order.indexOf(view.instance) < order.indexOf(peer.instance))
  return isFirst ? 'wait' : 'withdraw'
}

/** Instance that is `allowed` ranks ahead of this one in the swap order; undefined for the first `allowed` instances. */
export function predecessorOf (wanted: string, instance: string, pool: readonly string[], allowed: number): string | undefined {
  const order = rankMembers(wanted, pool.includes(instance) ? pool : [...pool, instance])
  return order[order.indexOf(instance) - allowed]
}

/** Whether the swap is overdue, or the predecessor is unknown or already serves the wanted weights. */
function mayAnnounce (view: SwapView): boolean {
  if (view.allowed < 1) return false
  if (view.isOverdue) return true
  const pool = view.peers.filter(peer => peer.wants).map(peer => peer.instance)
  const predecessor = predecessorOf(view.wanted, view.instance, pool, view.allowed)
  const known = view.peers.find(peer => peer.instance === predecessor)
  return known === undefined || known.served === view.wanted
}
