/** Routing: the route and service of a request, and whether its caller may use them. */
import { createHash } from 'node:crypto'
import type { FleetConfiguration, Organisation, Route, Service } from '../../types/fleet.js'

/** A configuration indexed for look-up. */
export interface RouteTable {
  readonly configuration: FleetConfiguration
  /** Routes by host in lower case, the longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>
  /** Organisations by the keys of their callers. */
  readonly organisationByKey: ReadonlyMap<string, Organisation>
}

/** Result of a look-up; the organisation is undefined for a caller without a known key on a route that needs none. */
export type RouteMatch =
  | { readonly kind: 'match', readonly route: Route, readonly organisation: Organisation | undefined }
  | { readonly kind: 'unknown-route' }
  | { readonly kind: 'unknown-key' }

/** Indexes a configuration. */
export function buildRouteTable (configuration: FleetConfiguration): RouteTable {
  const routesByHost = new Map<string, Route[]>()
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase()
    const routes = routesByHost.get(host)
    if (routes === undefined) routesByHost.set(host, [route])
    else routes.push(route)
  }
  for (const routes of routesByHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  const organisationByKey = new Map<string, Organisation>()
  for (const organisation of configuration.organisations) {
    for (const key of organisation.keys) organisationByKey.set(key, organisation)
  }
  return { configuration, routesByHost, organisationByKey }
}

/** Finds the route with the longest matching path prefix, and the caller's organisation; `host` in lower case. */
export function matchRoute (table: RouteTable, host: string, target: string, key: string | undefined): RouteMatch {
  const path = target.split('?')[0] ?? target
  const route = table.routesByHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix))
  if (route === undefined) return { kind: 'unknown-route' }
  const organisation = key === undefined ? undefined : table.organisationByKey.get(key)
  const needsKey = table.configuration.organisations.length > 0 && !route.isPublic
  if (needsKey && organisation === undefined) return { kind: 'unknown-key' }
  return { kind: 'match', route, organisation }
}

/** A request with its route, organisation and service, all of one configuration; or the tag of the failure that refuses it. */
export type RoutedBy =
  | { readonly kind: 'match', readonly route: Route, readonly organisation: Organisation | undefined, readonly service: Service }
  | { readonly kind: 'unknown-route' | 'unknown-key' | 'unknown-service' }

/** Finds route, organisation and service of a request in one configuration; `host` in lower case. */
export function routeRequest (table: RouteTable, { host, target, key, id }: { readonly host: string, readonly target: string, readonly key: string | undefined, readonly id: string }): RoutedBy {
  const match = matchRoute(table, host, target, key)
  if (match.kind !== 'match') return match
  const service = table.configuration.services.get(chooseService(match.route, id) ?? '')
  return service === undefined ? { kind: 'unknown-service' } : { ...match, service }
}

/** Regions that may serve a request: those that both route and organisation allow; undefined for all. */
export function regionsFor (route: Route, organisation: Organisation | undefined): readonly string[] | undefined {
  const restrictions = [route.regions, organisation?.regions ?? []].filter(regions => regions.length > 0)
  const [first, second] = restrictions
  if (first === undefined) return undefined
  return second === undefined ? first : first.filter(region => second.includes(region))
}

/** Whether a service has only routes whose streams can be resumed at another upstream. */
export function isServiceResumable (routes: readonly Route[], service: string): boolean {
  const serviceRoutes = routes.filter(({ targets }) => targets.some(target => target.service === service))
  return serviceRoutes.length > 0 && serviceRoutes.every(({ kind, isResumable }) => kind === 'stream' && isResumable)
}

/** Service that a request goes to, in proportion to the weights of the route's targets; the same for the same request id. */
export function chooseService (route: Route, requestId: string): string | undefined {
  const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  if (route.targets.length <= 1 || totalWeight <= 0) return route.targets[0]?.service
  let remaining = createHash('md5').update(requestId).digest().readUInt32BE(0) / 2 ** 32 * totalWeight
  for (const { service, weight } of route.targets) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.targets.at(-1)?.service
}
