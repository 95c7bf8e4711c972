/** Directory: the entries that a caller is given to connect to. */
import type { Member } from './members.js'

/** Where a caller is. */
export interface CallerLocation {
  readonly dataCentre: string
  readonly region: string
}

/** Addresses in one directory answer. */
const maximumAddresses = 64

/**
 * Addresses of the ready entries in the caller's data centre, else in its region, else in the regions that may serve its
 * host, else anywhere. With no ready entry, those of all living ones: an entry that is shutting down still serves.
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
