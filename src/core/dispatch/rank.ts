/**
 * Rank of a request, 0 for the most urgent to 9. Load pattern: callers of different priorities compete for the same
 * engines, so that the priority must mean the same at every entry, agent and engine.
 */
import type { FleetConfiguration, Organisation, Route } from '../../types/fleet.js'
import type { SlotOrder } from '../../types/node-messages.js'
import type { OrderedRequest } from './service-order.js'

/** Least urgent rank. */
export const lowestRank = 9
/** Ranks by which a late request is behind in a service that is not ranked: its goal is missed already. */
const lateIncrement = 3

/** Largest share and work that are believed. */
const [maximumShare, maximumWork] = [1e6, 1e7] as const

/** What a rank depends on in the configuration. */
export type RankedConfiguration = Pick<FleetConfiguration, 'routes' | 'organisations'>

/** Rank in a service that is not ranked: the organisation's priority instead of the route's, and late requests behind. */
export function basicRank (route: Pick<Route, 'priority'>, organisation: Pick<Organisation, 'priority'> | undefined, isLate: boolean): number {
  const priority = organisation?.priority ?? route.priority
  return Math.min(lowestRank, priority + (isLate ? lateIncrement : 0))
}

/** Ranks in the services of one configuration, by the organisation's priority and then the route's. */
export class ServiceRanks {
  /** Priorities of the routes to each service, ascending. */
  private readonly routePriorities = new Map<string, readonly number[]>()
  /** Priorities of organisations, ascending. */
  private readonly organisationPriorities: readonly number[]

  constructor ({ routes, organisations }: RankedConfiguration) {
    for (const { priority, targets } of routes) {
      for (const { service } of targets) this.routePriorities.set(service, ascending([...this.routePriorities.get(service) ?? [], priority]))
    }
    this.organisationPriorities = ascending(organisations.map(priorityOf))
  }

  /** Rank of a request in a ranked service. Only the order of priorities counts, so that a service uses few of the ranks; more combinations than ranks share some. */
  of (service: string, route: Pick<Route, 'priority'>, organisation: Pick<Organisation, 'priority'> | undefined): number {
    const priorities = this.routePriorities.get(service) ?? []
    const routeIndex = Math.max(0, priorities.indexOf(route.priority))
    const organisationIndex = Math.max(0, this.organisationPriorities.indexOf(priorityOf(organisation)))
    const combinations = Math.max(1, priorities.length) * Math.max(1, this.organisationPriorities.length)
    const index = organisationIndex * Math.max(1, priorities.length) + routeIndex
    return combinations <= lowestRank + 1 ? index : Math.floor(index * (lowestRank + 1) / combinations)
  }
}

/** Priority of an organisation; one without a priority of its own is as urgent as the most urgent. */
function priorityOf (organisation: Pick<Organisation, 'priority'> | undefined): number {
  return organisation?.priority ?? 0
}

function ascending (numbers: readonly number[]): readonly number[] {
  return [...new Set(numbers)].sort((left, right) => left - right)
}

/** The order of a request as a message carries it. */
export function encodeOrder ({ deadline, work, ...order }: OrderedRequest, now: number): SlotOrder {
  return { ...order, work: Math.round(work), remainingMilliseconds: Math.round(deadline - now) }
}

/** The order of a request from a message; undefined if it is missing or a figure cannot be right. */
export function decodeOrder (order: SlotOrder | undefined, now: number): OrderedRequest | undefined {
  if (order === undefined) return undefined
  const { rank, organisation, share, work, isRetry, remainingMilliseconds } = order
  const isValid = Number.isInteger(rank) && rank >= 0 && rank <= lowestRank && share > 0 && share <= maximumShare && work >= 0 && work <= maximumWork && Number.isFinite(remainingMilliseconds)
  return isValid ? { rank, organisation, share, work, isRetry, deadline: now + remainingMilliseconds } : undefined
}
