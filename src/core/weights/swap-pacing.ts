/** How many instances of a pool may be away for a change of weights at once, and whose turn it is. */
import { rankMembers } from '../../utils/rendezvous.js'

/** State of an instance's change of weights: `intending` is announced before others are asked, `away` while the engine changes. */
export type SwapState = 'idle' | 'intending' | 'away'

/** What an instance knows of another one of its pool. */
export interface SwapPeer {
  readonly instance: string
  /** Whether it is to serve the wanted weights as well. */
  readonly wants: boolean
  /** Manifest digest that its engine serves, empty for none. */
  readonly served: string
  readonly swap: SwapState
  readonly inFlight: number
  readonly limit: number
  /** How long its last change took, milliseconds; 0 before the first. */
  readonly changeMilliseconds: number
}

/** What the pace follows from. */
export interface PaceView {
  readonly now: number
  /** Epoch milliseconds by which the rollout should end. */
  readonly finishBy: number
  readonly weighting: 'replicas' | 'service'
  /** Instances of the pool that answer. */
  readonly size: number
  /** Of these, instances that do not serve the wanted weights yet. */
  readonly remaining: number
  /** Instances that are away now. */
  readonly away: number
  /** Requests in flight in the pool. */
  readonly inFlight: number
  /** Requests in flight that the serving instances allow. */
  readonly limit: number
  /** The largest limit of one of them; the next one to leave takes at most that much with it. */
  readonly largestLimit: number
  /** Usual time that one change takes, milliseconds. */
  readonly changeMilliseconds: number
}

/** Largest share of a pool that is away by choice. */
const voluntaryShare = { replicas: 0.5, service: 0.25 } as const
/** Largest share that a deadline can force away. */
const forcedShare = { replicas: 1, service: 0.5 } as const
/** Instances that may be away whatever the load: time to replicas goes before capacity, service does not. */
const minimumAllowed = { replicas: 1, service: 0 } as const
/** Shortest change that is reckoned with before a deadline, milliseconds. */
const minimumSwapMilliseconds = 1500
/** Times the usual change that are set aside for each change before the deadline. */
const deadlineMarginFactor = 4
/** Spare room in standard deviations of the number of requests in flight, which is near Poisson. */
const spareDeviations = { replicas: 1, service: 2 } as const

/** Instances that may be away at once. Beyond the least, the pool keeps what its load needs, unless the deadline forces more away. */
export function maximumUnavailable (view: PaceView): number {
  const shareLimit = Math.max(1, Math.floor(view.size * voluntaryShare[view.weighting]))
  const needed = view.inFlight + spareDeviations[view.weighting] * Math.sqrt(view.inFlight)
  const additional = Math.floor((view.limit - needed) / Math.max(1, view.largestLimit))
  const allowedByLoad = Math.max(minimumAllowed[view.weighting], Math.min(shareLimit, view.away + additional))
  return Math.max(allowedByLoad, forcedUnavailable(view, shareLimit))
}

/** Instances that must be away at once for the rollout to end in time; 0 while one at a time can still wait. */
function forcedUnavailable (view: PaceView, shareLimit: number): number {
  const rounds = Math.floor((view.finishBy - view.now) / (Math.max(minimumSwapMilliseconds, view.changeMilliseconds) * deadlineMarginFactor))
  if (rounds > view.remaining) return 0
  const maximum = Math.max(shareLimit, Math.floor((view.size - 1) * forcedShare[view.weighting]))
  if (rounds < 1) return Math.min(view.remaining, shareLimit)
  return Math.min(maximum, Math.ceil(view.remaining / rounds))
}

/** One instance's view of a change. */
export interface SwapView {
  readonly instance: string
  /** Manifest digest that the own engine serves, empty for none. */
  readonly served: string
  readonly swap: SwapState
  readonly wanted: string
  /** Other instances of the pool that answered; while intending, answers given after the announcement. */
  readonly peers: readonly SwapPeer[]
  readonly allowed: number
  /** Whether this instance has waited for its turn too long. */
  readonly isOverdue: boolean
}

/** What an instance does next. */
export type SwapStep = 'start' | 'intend' | 'withdraw' | 'wait'

/**
 * The next step. Whoever announces before it asks the others is seen by all that announce later, so that of any
 * `allowed + 1` instances the last to announce sees the others and does not start.
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

/** Instance whose change comes `allowed` places before this one's; undefined for the first ones. */
export function predecessorOf (wanted: string, instance: string, pool: readonly string[], allowed: number): string | undefined {
  const order = rankMembers(wanted, pool.includes(instance) ? pool : [...pool, instance])
  return order[order.indexOf(instance) - allowed]
}

function mayAnnounce (view: SwapView): boolean {
  if (view.allowed < 1) return false
  if (view.isOverdue) return true
  const pool = view.peers.filter(peer => peer.wants).map(peer => peer.instance)
  const predecessor = predecessorOf(view.wanted, view.instance, pool, view.allowed)
  const known = view.peers.find(peer => peer.instance === predecessor)
  return known === undefined || known.served === view.wanted
}
