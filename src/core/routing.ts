/** Routing: which upstreams may take a request, and which one is chosen. */
import type { Configuration } from '../types/configuration.js'
import type { AgentStatus } from '../types/messages.js'
import { rankMembers } from '../utils/rendezvous.js'

/** An upstream as this entry sees it. */
export interface UpstreamView {
  readonly status: AgentStatus
  readonly region: string
  /** gRPC address of its agent, `ip:port`. */
  readonly controlAddress: string
  /** Estimated requests at the upstream: the last reported load plus the requests that this entry sent since, less those that ended. */
  readonly load: number
}

/** What a request needs from its upstream. */
export interface UpstreamRequirements {
  readonly service: string
  /** Manifest digests of the acceptable weights, the best first; undefined for a plain service. */
  readonly weights: readonly string[] | undefined
  /** Digest of the prompt's prefix, empty for none. */
  readonly prefix: string
  /** Fingerprint of a request that must run alone, empty for any other. */
  readonly suspectFingerprint: string
}

/** Location of a node. */
export interface NodeLocation { readonly dataCentre: string, readonly region: string }

/** Upstreams that may take a request: open, in a data centre that is in, with acceptable weights, and not in `tried` (instances). */
export function candidatesOf (views: readonly UpstreamView[], requirements: UpstreamRequirements, configuration: Configuration, tried: ReadonlySet<string>): readonly UpstreamView[] {
  return views.filter(({ status }) => status.service === requirements.service &&
    status.state === 'open' &&
    configuration.dataCentres[status.dataCentre]?.state === 'in' &&
    !tried.has(status.instance) &&
    (requirements.weights === undefined || requirements.weights.includes(status.weights)))
}

/**
 * Next upstream for a request. Free slots come first, then better weights, then the nearer location; the policy decides among equals.
 * A suspect request always goes to the upstream that its fingerprint hashes to. Undefined without candidates.
 */
export function chooseUpstream (candidates: readonly UpstreamView[], requirements: UpstreamRequirements, location: NodeLocation, policy: RoutingPolicy): UpstreamView | undefined {
  if (candidates.length === 0) return undefined
  if (requirements.suspectFingerprint !== '') return suspectUpstream(candidates, requirements.suspectFingerprint)
  const preferred = policy.prefer(lowestTier(candidates, view => preferenceTier(view, requirements, location)), requirements)
  if (preferred !== undefined) return preferred
  return policy.choose(lowestTier(candidates, view => tierOf(view, requirements, location)), requirements)
}

/** Chooses among upstreams of the same tier. */
export abstract class RoutingPolicy {
  abstract choose (candidates: readonly UpstreamView[], requirements: UpstreamRequirements): UpstreamView | undefined

  /** Upstream to use even if it is at capacity and another has free slots; undefined for none. */
  prefer (_candidates: readonly UpstreamView[], _requirements: UpstreamRequirements): UpstreamView | undefined {
    return undefined
  }
}

/** Upstream with the smallest share of its limit in use. */
export class LeastLoad extends RoutingPolicy {
  choose (candidates: readonly UpstreamView[]): UpstreamView | undefined {
    return leastLoaded(candidates)
  }
}

/** Less loaded of two random upstreams (power of two choices). */
export class TwoChoices extends RoutingPolicy {
  /** `random` returns numbers in [0, 1). */
  constructor (private readonly random: () => number) {
    super()
  }

  choose (candidates: readonly UpstreamView[]): UpstreamView | undefined {
    const first = Math.floor(this.random() * candidates.length)
    const second = (first + 1 + Math.floor(this.random() * (candidates.length - 1))) % candidates.length
    return leastLoaded([candidates[first], candidates[second]].filter(view => view !== undefined))
  }
}

/** Number of upstreams that a prefix hashes to, and which may hold its cache. */
const upstreamsPerPrefix = 2
/** Requests that may queue at such an upstream while the pool is busy, as a share of its limit. */
const busyQueueShare = 0.5
/** Share of the pool's total limit in use from which the pool is busy. */
const busyPoolShare = 0.9

/**
 * Prefers an upstream that the prefix hashes to while it has free slots; otherwise uses the fallback policy.
 * While the pool is busy a few requests may also queue there: a cache miss elsewhere costs the pool more than the wait costs the caller.
 */
export class PrefixAffinity extends RoutingPolicy {
  constructor (private readonly fallback: RoutingPolicy) {
    super()
  }

  choose (candidates: readonly UpstreamView[], requirements: UpstreamRequirements): UpstreamView | undefined {
    return this.fallback.choose(candidates, requirements)
  }

  override prefer (candidates: readonly UpstreamView[], requirements: UpstreamRequirements): UpstreamView | undefined {
    if (requirements.prefix === '') return undefined
    const inUse = candidates.reduce((sum, view) => sum + Math.min(view.load, view.status.limit), 0)
    const capacity = candidates.reduce((sum, view) => sum + view.status.limit, 0)
    const queueShare = inUse >= busyPoolShare * capacity ? busyQueueShare : 0
    const byInstance = new Map(candidates.map(view => [view.status.instance, view]))
    return rankMembers(requirements.prefix, [...byInstance.keys()])
      .slice(0, upstreamsPerPrefix)
      .flatMap(instance => byInstance.get(instance) ?? [])
      .find(view => view.load < Math.ceil(view.status.limit * (1 + queueShare)))
  }
}

/** Whether the upstream can take one more request within its limit. */
export function hasFreeSlot (view: UpstreamView): boolean {
  return view.load < view.status.limit
}

/** Upstream for a suspect request: the same on every entry, so that copies of the request do not reach several upstreams. */
function suspectUpstream (candidates: readonly UpstreamView[], fingerprint: string): UpstreamView | undefined {
  const [home] = rankMembers(fingerprint, candidates.map(({ status }) => status.instance))
  return candidates.find(({ status }) => status.instance === home)
}

/** Upstreams in the lowest tier among the candidates. */
function lowestTier (candidates: readonly UpstreamView[], tier: (view: UpstreamView) => number): readonly UpstreamView[] {
  const tiers = candidates.map(tier)
  const lowest = Math.min(...tiers)
  return candidates.filter((_view, index) => tiers[index] === lowest)
}

function tierOf (view: UpstreamView, requirements: UpstreamRequirements, location: NodeLocation): number {
  const atCapacity = hasFreeSlot(view) ? 0 : 1
  return atCapacity * (requirements.weights?.length ?? 1) * distanceTiers + preferenceTier(view, requirements, location)
}

/** Tier by weights first, then by distance; lower is better. */
function preferenceTier (view: UpstreamView, requirements: UpstreamRequirements, location: NodeLocation): number {
  const weightsRank = requirements.weights?.indexOf(view.status.weights) ?? 0
  const distance = view.status.dataCentre === location.dataCentre ? 0 : view.region === location.region ? 1 : 2
  return weightsRank * distanceTiers + distance
}

function leastLoaded (candidates: readonly UpstreamView[]): UpstreamView | undefined {
  return candidates.reduce<UpstreamView | undefined>((best, view) => best === undefined || loadShare(view) < loadShare(best) ? view : best, undefined)
}

function loadShare (view: UpstreamView): number {
  return view.load / Math.max(1, view.status.limit)
}

/** Distances: same data centre, same region, elsewhere. */
const distanceTiers = 3
