/** Placement: chooses the upstream that takes a request, or none. */

import { sample } from '../fleet/gossip-plan.js'

/** An upstream that may take a request, as one entry sees it. */
export interface Candidate {
  readonly id: string
  /** Estimated number of requests that run or are queued there. */
  readonly load: number
  /** Requests that this entry may send there now. */
  readonly freeSlots: number
  /** Requests of this entry there whose answer has not started. */
  readonly unstarted: number
  /** Whether it is in the entry's data centre. */
  readonly isSameDataCentre: boolean
  /** Added to the load because of failed calls, in requests. */
  readonly penalty: number
}

/** How many requests may be at an upstream, see `concurrencyLimit`. */
export interface AdmissionLimits {
  /** Requests that may be queued at the upstream beyond its slots. */
  readonly waiting: number
  /** Requests that may be there for each slot. */
  readonly requestsPerSlot: number
}

/** Penalty of an upstream in another data centre, in requests: traffic between regions has a price, but a long wait costs more. */
const otherDataCentrePenalty = 3
/** Extra load of a request whose prompt is not yet read, in requests: it delays the first event of the next one, a request that is generating hardly does. */
const unstartedPenalty = 2

/** Largest number of requests at an upstream, all entries together; may be fractional. */
export function concurrencyLimit (slots: number, admission: AdmissionLimits): number {
  return slots * admission.requestsPerSlot + admission.waiting
}

/**
 * Cheapest of up to four candidates: two random ones of the entry's data centre and two of other data centres.
 * Undefined where none has a free slot. Load pattern: arrivals near the capacity of all upstreams, from entries that
 * learn of each other's requests one report late. If every entry chose the least loaded upstream, a newly started one
 * would get all requests until the next report, and their callers would wait until all those prompts are read.
 */
export function placeRequest<Placed extends Candidate> (candidates: readonly Placed[], random: () => number): Placed | undefined {
  const open = candidates.filter(({ freeSlots }) => freeSlots >= 1)
  const local = pickTwo(open.filter(({ isSameDataCentre }) => isSameDataCentre), random)
  const remote = pickTwo(open.filter(({ isSameDataCentre }) => !isSameDataCentre), random)
  return [...local, ...remote].reduce<Placed | undefined>((best, candidate) => best === undefined || costOf(candidate) < costOf(best) ? candidate : best, undefined)
}

/** Random candidates of the entry's data centre, and of the others, whose times are compared: all of a small service, as its entries seldom know more than the usual figures. */
const comparedCandidates = 6

/**
 * Candidate with the least expected time, `costOf`, among random ones. Each time is multiplied by an exponentially
 * distributed factor to the power of `spread`: with 0 the least one is chosen, with 1 each in proportion to its inverse,
 * so that entries with the same figures choose different upstreams. Load
 * pattern: upstreams that are slow for a part of the time, of which each entry knows only what its last answers stated.
 */
export function placeByTime<Placed extends Candidate> (candidates: readonly Placed[], costOf: (candidate: Placed) => number, spread: number, random: () => number): Placed | undefined {
  const open = candidates.filter(({ freeSlots }) => freeSlots >= 1)
  let best: Placed | undefined
  let leastCost = Infinity
  for (const candidate of toCompare(open, ({ isSameDataCentre }) => isSameDataCentre, random)) {
    const cost = costOf(candidate) * (spread === 0 ? 1 : (-Math.log(1 - random())) ** spread)
    if (best !== undefined && cost >= leastCost) continue
    best = candidate
    leastCost = cost
  }
  return best
}

/** Random upstreams of the entry's data centre and of the others, whose expected times are compared; all where there are few. */
export function toCompare<Item> (items: readonly Item[], isLocal: (item: Item) => boolean, random: () => number): readonly Item[] {
  if (items.length <= comparedCandidates) return items
  const local = items.filter(isLocal)
  return [...sample(local, comparedCandidates, random), ...sample(items.filter(item => !isLocal(item)), comparedCandidates, random)]
}

function pickTwo<Placed extends Candidate> (candidates: readonly Placed[], random: () => number): readonly Placed[] {
  if (candidates.length <= 2) return candidates
  const first = Math.floor(random() * candidates.length)
  const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length
  return candidates.filter((_, index) => index === first || index === second)
}

/** Agents that one request asks for a slot in a round: two in the entry's data centre, since traffic between regions has a price, and one elsewhere. */
const askedAgents = { sameDataCentre: 2, elsewhere: 1 } as const

/**
 * Engines whose agents are asked for a slot: at random among those that have not just had none. Loads are not compared:
 * entries that have the same reports would all ask the same agents.
 */
export function enginesToAsk<Asked extends Pick<Candidate, 'id' | 'isSameDataCentre'>> (candidates: readonly Asked[], isFull: (id: string) => boolean, random: () => number): readonly Asked[] {
  const open = candidates.filter(({ id }) => !isFull(id))
  const from = open.length > 0 ? open : candidates
  const local = sample(from.filter(({ isSameDataCentre }) => isSameDataCentre), askedAgents.sameDataCentre, random)
  const rest = from.filter(candidate => !local.includes(candidate))
  return [...local, ...sample(rest, askedAgents.sameDataCentre + askedAgents.elsewhere - local.length, random)]
}

/** Random engines whose expected times are compared before agents are asked: several times as many as are asked, and few enough that entries with the same figures ask different agents. */
const consideredEngines = 9

/** Engines whose agents are asked for a slot: of some random ones those with the least expected time, `costOf`. */
export function enginesToAskByTime<Asked extends Pick<Candidate, 'id' | 'isSameDataCentre'>> (candidates: readonly Asked[], costOf: (candidate: Asked) => number, isFull: (id: string) => boolean, random: () => number): readonly Asked[] {
  const rest = [...candidates]
  const best: { readonly candidate: Asked, readonly cost: number }[] = []
  let considered = 0
  while (considered < consideredEngines && rest.length > 0) {
    const index = Math.floor(random() * rest.length)
    const candidate = rest[index]
    const last = rest.pop()
    if (candidate === undefined || last === undefined) break
    if (index < rest.length) rest[index] = last
    if (isFull(candidate.id)) continue
    considered += 1
    const cost = costOf(candidate)
    const place = best.findIndex(other => cost < other.cost)
    best.splice(place < 0 ? best.length : place, 0, { candidate, cost })
    if (best.length > askedAgents.sameDataCentre + askedAgents.elsewhere) best.pop()
  }
  if (considered === 0) return sample(candidates, askedAgents.sameDataCentre + askedAgents.elsewhere, random)
  return best.map(({ candidate }) => candidate)
}

function costOf (candidate: Candidate): number {
  return candidate.load + candidate.unstarted * unstartedPenalty + candidate.penalty + (candidate.isSameDataCentre ? 0 : otherDataCentrePenalty)
}
