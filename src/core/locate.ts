/** Ranks the entries that a caller may use: the nearest first, and in the same order for callers that share a prefix. */
import { rankMembers } from '../utils/rendezvous.js'
import type { NodeLocation } from './routing.js'

/** Entry that callers may be directed to. */
export interface LocatableEntry extends NodeLocation {
  /** HTTP address, `ip:port`. */
  readonly address: string
  /** Whether it is shutting down, according to the instance list or to its own report. */
  readonly leaving: boolean
  /** Last reported number of requests in flight. */
  readonly inFlight: number
}

/** An entry is overloaded above this multiple of the mean load plus the allowance, which keeps small loads from counting. */
const overloadFactor = 2
const overloadAllowanceRequests = 16

/**
 * Addresses of the entries, the best first. Entries that shut down are left out; those of a data centre that is out are used only when no others are left.
 * Overloaded entries come last; within that, nearer entries come first, then the order is by hash of `key`.
 */
export function rankEntries (entries: readonly LocatableEntry[], key: string, location: NodeLocation, isIn: (dataCentre: string) => boolean): readonly string[] {
  const active = entries.filter(entry => !entry.leaving)
  const inService = active.filter(entry => isIn(entry.dataCentre))
  const candidates = inService.length > 0 ? inService : active
  const mean = candidates.reduce((sum, entry) => sum + entry.inFlight, 0) / Math.max(1, candidates.length)
  const maximumInFlight = overloadAllowanceRequests + overloadFactor * mean
  const tier = (entry: LocatableEntry): number => (entry.inFlight > maximumInFlight ? overloadedTier : 0) + distanceOf(entry, location)
  const order = rankMembers(key, candidates.map(entry => entry.address))
  const position = new Map(order.map((address, index) => [address, index]))
  return [...candidates]
    .sort((left, right) => tier(left) - tier(right) || (position.get(left.address) ?? 0) - (position.get(right.address) ?? 0))
    .map(entry => entry.address)
}

function distanceOf (entry: NodeLocation, location: NodeLocation): number {
  if (entry.dataCentre === location.dataCentre) return 0
  return entry.region === location.region ? 1 : 2
}

const overloadedTier = 3
