/** Which entry a caller should use: near, live, and the same for callers that share a prefix. */
import { rankMembers } from '../utils/rendezvous.js'
import type { NodeLocation } from './routing.js'

/** An entry that may be named to callers. */
export interface LocatableEntry extends NodeLocation {
  /** HTTP address. */
  readonly address: string
  /** Whether it is leaving, by the list or by its own word. */
  readonly leaving: boolean
  /** Requests in flight there, as last heard. */
  readonly inFlight: number
}

const overloadFactor = 2
const overloadAllowanceRequests = 16

/** Addresses of the entries to use, the best first: of data centres that are in, nearest first, then by hash of the key, overloaded ones last. */
export function rankEntries (entries: readonly LocatableEntry[], key: string, near: NodeLocation, isIn: (dataCentre: string) => boolean): readonly string[] {
  const staying = entries.filter(entry => !entry.leaving)
  const open = staying.filter(entry => isIn(entry.dataCentre))
  const named = open.length > 0 ? open : staying
  const mean = named.reduce((sum, entry) => sum + entry.inFlight, 0) / Math.max(1, named.length)
  const mostInFlight = overloadAllowanceRequests + overloadFactor * mean
  const tier = (entry: LocatableEntry): number => (entry.inFlight > mostInFlight ? overloadedTier : 0) + distanceOf(entry, near)
  const order = rankMembers(key, named.map(entry => entry.address))
  const position = new Map(order.map((address, index) => [address, index]))
  return [...named]
    .sort((left, right) => tier(left) - tier(right) || (position.get(left.address) ?? 0) - (position.get(right.address) ?? 0))
    .map(entry => entry.address)
}

function distanceOf (entry: NodeLocation, near: NodeLocation): number {
  if (entry.dataCentre === near.dataCentre) return 0
  return entry.region === near.region ? 1 : 2
}

const overloadedTier = 3
