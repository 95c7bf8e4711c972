/** Which dispatch decisions a service asks for, by its configuration, by what its upstreams state and by the settings. */
import type { FleetConfiguration } from '../../types/fleet.js'

/** Setting of an entry: as each service asks for (`automatic`), for all services (`adaptive`) or for none (`basic`). */
export type DispatchMode = 'automatic' | 'adaptive' | 'basic'

/** All modes, for checks of settings. */
export const dispatchModes: readonly DispatchMode[] = ['automatic', 'adaptive', 'basic']

/** What a service asks for. */
export interface ServiceProfile {
  /** Whether callers of different priorities compete for it. */
  readonly isRanked: boolean
  /** Whether its upstreams state how fast they work now. */
  readonly isPaced: boolean
  /** Whether placement compares expected times; otherwise numbers of requests. */
  readonly placesByTime: boolean
  /** Whether either holds: expected times then decide on refusals, retries and the start of upstreams. */
  readonly isAdaptive: boolean
}

/** Services of a configuration whose routes that need a key have different priorities; public routes belong to no organisation and do not compete. */
export function rankedServices ({ routes }: Pick<FleetConfiguration, 'routes'>): ReadonlySet<string> {
  const priorities = new Map<string, Set<number>>()
  for (const { isPublic, priority, targets } of routes) {
    if (isPublic) continue
    for (const { service } of targets) {
      const known = priorities.get(service) ?? new Set()
      priorities.set(service, known.add(priority))
    }
  }
  return new Set([...priorities].flatMap(([service, { size }]) => size > 1 ? [service] : []))
}

/**
 * Profile of a service. Engines are placed by number unless the setting asks for expected times: an entry learns of the pace
 * of an engine later than it changes.
 */
export function profileOf (mode: DispatchMode, { isRanked, isPaced, hasEngines }: ServiceFacts): ServiceProfile {
  if (mode === 'adaptive') return { isRanked: true, isPaced: true, placesByTime: true, isAdaptive: true }
  if (mode === 'basic') return { isRanked: false, isPaced: false, placesByTime: false, isAdaptive: false }
  return { isRanked, isPaced, placesByTime: isPaced && !hasEngines, isAdaptive: isRanked || isPaced }
}

/** What is known of a service. */
export interface ServiceFacts {
  readonly isRanked: boolean
  readonly isPaced: boolean
  readonly hasEngines: boolean
}
