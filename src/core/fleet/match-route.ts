/** Which route a request takes, and whether its caller may use it. */
import { createHash } from 'node:crypto'
import type { FleetConfiguration, Organisation, Route } from '../../types/fleet.js'

/** A configuration arranged for look-up. */
export interface RouteTable {
  readonly configuration: FleetConfiguration
  /** Routes of a host, the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>
  readonly organisationByKey: ReadonlyMap<string, Organisation>
}

/** Result of a look-up. */
export type RouteMatch =
  | { readonly kind: 'match', readonly route: Route, readonly organisation: Organisation | undefined }
  | { readonly kind: 'unknown-route' }
  | { readonly kind: 'unknown-key' }

/** Arranges a configuration. */
export function buildRouteTable (configuration: FleetConfiguration): RouteTable {
  const routesOf = new Map<string, Route[]>()
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase()
    routesOf.set(host, [...routesOf.get(host) ?? [], route])
  }
  for (const routes of routesOf.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  const organisationOf = new Map<string, Organisation>()
  for (const organisation of configuration.organisations) {
    for (const key of organisation.keys) organisationOf.set(key, organisation)
  }
  return { configuration, routesByHost: routesOf, organisationByKey: organisationOf }
}

/** Finds the route with the longest prefix, and the caller's organisation. */
export function matchRoute (table: RouteTable, host: string, target: string, key: string | undefined): RouteMatch {
  const path = target.split('?')[0] ?? target
  const route = table.routesByHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix))
  if (route === undefined) return { kind: 'unknown-route' }
  const organisation = key === undefined ? undefined : table.organisationByKey.get(key)
  const needsKey = table.configuration.organisations.length > 0 && !route.isPublic
  if (needsKey && organisation === undefined) return { kind: 'unknown-key' }
  return { kind: 'match', route, organisation }
}

/** Regions that may serve a request; undefined for all. */
export function regionsFor (route: Route, organisation: Organisation | undefined): readonly string[] | undefined {
  const bounds = [route.regions, organisation?.regions ?? []].filter(regions => regions.length > 0)
  const [first, second] = bounds
  if (first === undefined) return undefined
  return second === undefined ? first : first.filter(region => second.includes(region))
}

/** Whether every stream of a service may go on at another upstream. */
export function isServiceResumable (routes: readonly Route[], service: string): boolean {
  const own = routes.filter(({ targets }) => targets.some(target => target.service === service))
  return own.length > 0 && own.every(({ kind, isResumable }) => kind === 'stream' && isResumable)
}

/** The service that a request goes to: by the weights of the route's split, the same for the same request. */
export function chooseService (route: Route, requestId: string): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  if (route.targets.length <= 1 || total <= 0) return route.targets[0]?.service
  let left = createHash('md5').update(requestId).digest().readUInt32BE(0) / 2 ** 32 * total
  for (const { service, weight } of route.targets) {
    left -= weight
    if (left < 0) return service
  }
  return route.targets.at(-1)?.service
}
