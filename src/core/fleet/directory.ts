/** Which entries a caller is told to connect to. */
import type { Member } from './members.js'

/** Where a caller is. */
export interface CallerLocation {
  readonly dataCentre: string
  readonly region: string
}

/** Addresses in one answer at most. */
const maximumAddresses = 64

/**
 * Ready entries of the caller's data centre, else of its region, else of the regions that may serve its host, else of any.
 * With no ready entry at all it names every living one: an entry that is leaving still serves.
 */
export function entriesFor (members: readonly Member[], caller: CallerLocation, homeRegions: readonly string[]): readonly string[] {
  const ready = members.filter(member => member.isReady)
  const tiers: readonly (readonly Member[])[] = [
    ready.filter(member => member.dataCentre === caller.dataCentre),
    ready.filter(member => member.region === caller.region),
    ready.filter(member => homeRegions.includes(member.region)),
    ready,
    members
  ]
  const tier = tiers.find(candidates => candidates.length > 0) ?? []
  return tier.slice(0, maximumAddresses).map(member => member.callers)
}
