/** Choice of an upstream: who may take a request, and in which order. */
import type { Configuration } from '../types/configuration.js'
import type { AgentStatus } from '../types/messages.js'
import { rankMembers } from '../utils/rendezvous.js'

/** An upstream as the entry sees it now. */
export interface UpstreamView {
  readonly status: AgentStatus
  readonly region: string
  /** gRPC address of the agent. */
  readonly controlAddress: string
  /** Requests that the entry believes to be there: the last status, corrected by its own sends since. */
  readonly load: number
}

/** What a request asks of its upstream. */
export interface UpstreamRequirements {
  readonly service: string
  /** Acceptable weights, the best first; undefined for a plain service. */
  readonly weights: readonly string[] | undefined
  /** Digest of the prompt's prefix, empty for none. */
  readonly prefix: string
  /** Fingerprint of a request that must run alone, empty for any other. */
  readonly suspectFingerprint: string
}

/** Where the entry is. */
export interface NodeLocation { readonly dataCentre: string, readonly region: string }

/** Upstreams that may take a request by the entry's own view. */
export function candidatesOf (views: readonly UpstreamView[], demand: UpstreamRequirements, configuration: Configuration, tried: ReadonlySet<string>): readonly UpstreamView[] {
  return views.filter(({ status }) => status.service === demand.service &&
    status.state === 'open' &&
    configuration.dataCentres[status.dataCentre]?.state === 'in' &&
    !tried.has(status.instance) &&
    (demand.weights === undefined || demand.weights.includes(status.weights)))
}

/** The next upstream for a request: with room before full, newer weights before older, near before far, then by the policy. */
export function chooseUpstream (candidates: readonly UpstreamView[], demand: UpstreamRequirements, place: NodeLocation, policy: RoutingPolicy): UpstreamView | undefined {
  if (candidates.length === 0) return undefined
  if (demand.suspectFingerprint !== '') return suspectUpstream(candidates, demand.suspectFingerprint)
  const preferred = policy.prefer(lowestTier(candidates, view => preferenceTier(view, demand, place)), demand)
  if (preferred !== undefined) return preferred
  return policy.choose(lowestTier(candidates, view => tierOf(view, demand, place)), demand)
}

/** Chooses among upstreams that are equally good otherwise. */
export abstract class RoutingPolicy {
  abstract choose (candidates: readonly UpstreamView[], demand: UpstreamRequirements): UpstreamView | undefined

  /** An upstream worth a short wait, although another may have room; undefined for none. */
  prefer (_candidates: readonly UpstreamView[], _demand: UpstreamRequirements): UpstreamView | undefined {
    return undefined
  }
}

/** The least share of its limit in use. */
export class LeastLoad extends RoutingPolicy {
  choose (candidates: readonly UpstreamView[]): UpstreamView | undefined {
    return leastLoaded(candidates)
  }
}

/** The less loaded of two drawn at random. */
export class TwoChoices extends RoutingPolicy {
  /** `random` gives numbers in [0, 1). */
  constructor (private readonly random: () => number) {
    super()
  }

  choose (candidates: readonly UpstreamView[]): UpstreamView | undefined {
    const first = Math.floor(this.random() * candidates.length)
    const second = (first + 1 + Math.floor(this.random() * (candidates.length - 1))) % candidates.length
    return leastLoaded([candidates[first], candidates[second]].filter(view => view !== undefined))
  }
}

/** Upstreams of a prefix that may hold its cache. */
const upstreamsPerPrefix = 2
/** Requests that may wait at a full home once the pool is busy, for each request in flight that it allows. */
const busyQueueShare = 0.5
/** Share of a pool's limits in use from which the pool is busy. */
const busyPoolShare = 0.9

/**
 * An upstream that the prefix hashes to, while it has room; the rest goes by another policy.
 * In a busy pool few may wait there: a miss elsewhere costs the pool more than the wait costs the caller.
 */
export class PrefixAffinity extends RoutingPolicy {
  constructor (private readonly fallback: RoutingPolicy) {
    super()
  }

  choose (candidates: readonly UpstreamView[], demand: UpstreamRequirements): UpstreamView | undefined {
    return this.fallback.choose(candidates, demand)
  }

  override prefer (candidates: readonly UpstreamView[], demand: UpstreamRequirements): UpstreamView | undefined {
    if (demand.prefix === '') return undefined
    const used = candidates.reduce((sum, view) => sum + Math.min(view.load, view.status.limit), 0)
    const limits = candidates.reduce((sum, view) => sum + view.status.limit, 0)
    const waiting = used >= busyPoolShare * limits ? busyQueueShare : 0
    const byInstance = new Map(candidates.map(view => [view.status.instance, view]))
    return rankMembers(demand.prefix, [...byInstance.keys()])
      .slice(0, upstreamsPerPrefix)
      .flatMap(instance => byInstance.get(instance) ?? [])
      .find(view => view.load < Math.ceil(view.status.limit * (1 + waiting)))
  }
}

/** Whether one more request would stay within the upstream's limit. */
export function hasFreeSlot (view: UpstreamView): boolean {
  return view.load < view.status.limit
}

/** The one upstream of a suspect: the same for every entry, so that its copies are not fanned out. */
function suspectUpstream (candidates: readonly UpstreamView[], fingerprint: string): UpstreamView | undefined {
  const [home] = rankMembers(fingerprint, candidates.map(({ status }) => status.instance))
  return candidates.find(({ status }) => status.instance === home)
}

/** Upstreams of the lowest tier. */
function lowestTier (candidates: readonly UpstreamView[], tier: (view: UpstreamView) => number): readonly UpstreamView[] {
  const tiers = candidates.map(tier)
  const lowest = Math.min(...tiers)
  return candidates.filter((_view, index) => tiers[index] === lowest)
}

function tierOf (view: UpstreamView, demand: UpstreamRequirements, place: NodeLocation): number {
  const full = hasFreeSlot(view) ? 0 : 1
  return full * (demand.weights?.length ?? 1) * distanceTiers + preferenceTier(view, demand, place)
}

/** Newer weights before older, then near before far. */
function preferenceTier (view: UpstreamView, demand: UpstreamRequirements, place: NodeLocation): number {
  const age = demand.weights?.indexOf(view.status.weights) ?? 0
  const distance = view.status.dataCentre === place.dataCentre ? 0 : view.region === place.region ? 1 : 2
  return age * distanceTiers + distance
}

function leastLoaded (candidates: readonly UpstreamView[]): UpstreamView | undefined {
  return candidates.reduce<UpstreamView | undefined>((best, view) => best === undefined || loadShare(view) < loadShare(best) ? view : best, undefined)
}

function loadShare (view: UpstreamView): number {
  return view.load / Math.max(1, view.status.limit)
}

const distanceTiers = 3
