/** Differences between two fleet configurations, by the names of their entries. */
import type { FleetConfiguration } from '../../types/fleet.js'

/** One entry that was added, removed or changed. */
export interface FleetDifference {
  /** Such as `routes.reviews`. */
  readonly place: string
  readonly change: 'added' | 'removed' | 'changed'
  /** Names of the fields that differ; empty unless the entry was changed. */
  readonly fields: readonly string[]
}

type NamedEntries = ReadonlyMap<string, object>

/** What differs from the configuration in force, sorted by place. */
export function fleetDifferences (inForce: FleetConfiguration, next: FleetConfiguration): readonly FleetDifference[] {
  const [before, after] = [entriesOf(inForce), entriesOf(next)]
  const places = [...new Set([...before.keys(), ...after.keys()])].sort()
  return places.flatMap(place => differenceOf(place, before.get(place), after.get(place)))
}

function entriesOf ({ routes, services, organisations, limits }: FleetConfiguration): NamedEntries {
  return new Map<string, object>([
    ...routes.map(route => [`routes.${route.name}`, route] as const),
    ...[...services.values()].map(service => [`services.${service.name}`, service] as const),
    ...organisations.map(organisation => [`organisations.${organisation.name}`, organisation] as const),
    ['limits', limits]
  ])
}

function differenceOf (place: string, before: object | undefined, after: object | undefined): readonly FleetDifference[] {
  if (before === undefined) return [{ place, change: 'added', fields: [] }]
  if (after === undefined) return [{ place, change: 'removed', fields: [] }]
  const [known, changed] = [before, after].map(entry => new Map<string, unknown>(Object.entries(entry)))
  const names = [...new Set([...known?.keys() ?? [], ...changed?.keys() ?? []])]
  const fields = names.filter(name => JSON.stringify(known?.get(name)) !== JSON.stringify(changed?.get(name)))
  return fields.length === 0 ? [] : [{ place, change: 'changed', fields }]
}
