/** Checks a fleet configuration before it is sent: entries that can never match and limits that contradict each other. */
import type { Finding } from '../../errors.js'
import type { FleetConfiguration, Organisation, Route, Service } from '../../types/fleet.js'
import { regionsFor } from './match-route.js'

/** Lowest and highest priority that upstreams know; others are sent as the nearest of them. */
const priorityRange = { lowest: 0, highest: 9 } as const

/** Findings for a decoded configuration, each with its place by names, such as `routes.reviews, priority`. */
export function checkFleetConfiguration (configuration: FleetConfiguration): readonly Finding[] {
  const services = [...configuration.services.values()]
  return [
    ...configuration.routes.flatMap(route => [...targetFindings(route, configuration), ...routeLimitFindings(route)]),
    ...shadowedRouteFindings(configuration.routes),
    ...unreachableOrganisationFindings(configuration),
    ...openRouteFindings(configuration),
    ...organisationFindings(configuration.organisations),
    ...services.flatMap(service => serviceFindings(service, configuration)),
    ...callerLimitFindings(configuration)
  ]
}

function targetFindings (route: Route, { services }: FleetConfiguration): readonly Finding[] {
  const place = `routes.${route.name}`
  if (route.targets.length === 0) return [{ place, problem: 'leads to no service' }]
  const unknown = route.targets.filter(({ service }) => !services.has(service))
  const negative = route.targets.filter(({ weight }) => weight < 0)
  const isNeverChosen = (weight: number): boolean => weight === 0 && route.targets.some(other => other.weight > 0)
  const unused = route.targets.filter(({ weight }) => isNeverChosen(weight))
  const hasNoWeight = route.targets.length > 1 && route.targets.every(({ weight }) => weight === 0)
  const origins = route.targets.filter(({ service }) => services.get(service)?.origin !== undefined && route.kind === 'stream')
  return [
    ...unknown.map(({ service }) => ({ place, problem: `names the unknown service "${service}"` })),
    ...negative.map(({ service }) => ({ place, problem: `gives the service "${service}" a negative weight` })),
    ...hasNoWeight ? [{ place, problem: `has only targets of weight 0: all requests go to "${route.targets[0]?.service ?? ''}"` }] : [],
    ...origins.map(({ service }) => ({ place, problem: `sends streams to "${service}", the origin of weights` })),
    ...unused.map(({ service }) => ({ place, problem: `never chooses the service "${service}", whose weight is 0` }))
  ]
}

function routeLimitFindings (route: Route): readonly Finding[] {
  const place = `routes.${route.name}`
  const checks: readonly (readonly [boolean, string, string])[] = [
    [!route.pathPrefix.startsWith('/'), 'path prefix', 'does not begin with a slash: no path matches it'],
    [!route.pathPrefix.endsWith('/'), 'path prefix', 'does not end with a slash: it also matches longer names'],
    [route.host === '' || route.host.includes(':'), 'host', 'is empty or has a port: no request matches it'],
    [route.timeoutMilliseconds <= 0, 'timeout', 'is not above 0: each request fails at once'],
    [route.latencyGoalMilliseconds > route.timeoutMilliseconds, 'latency goal', `is ${route.latencyGoalMilliseconds} ms, above the timeout of ${route.timeoutMilliseconds} ms`],
    [route.eventGapGoalMilliseconds > route.timeoutMilliseconds, 'event gap goal', `is ${route.eventGapGoalMilliseconds} ms, above the timeout of ${route.timeoutMilliseconds} ms`],
    [route.eventGapGoalMilliseconds > 0 && route.kind !== 'stream', 'event gap goal', 'has no effect on a route that is no stream'],
    [route.isResumable && route.kind !== 'stream', 'resumable', 'has no effect on a route that is no stream'],
    [route.maximumUpstreams < 1, 'attempts', 'are below 1: no upstream may run a request'],
    [route.maximumUpstreams > 1 && route.kind === 'once', 'attempts', `are ${route.maximumUpstreams}, but a request that is not idempotent runs at most once`],
    [route.priority < priorityRange.lowest || route.priority > priorityRange.highest, 'priority', `is ${route.priority}, outside ${priorityRange.lowest} to ${priorityRange.highest}`]
  ]
  return checks.flatMap(([isFound, field, problem]) => isFound ? [{ place: `${place}, ${field}`, problem }] : [])
}

/** Routes of the same host and path prefix: only the first one is ever chosen. */
function shadowedRouteFindings (routes: readonly Route[]): readonly Finding[] {
  const first = new Map<string, string>()
  return routes.flatMap(({ name, host, pathPrefix }) => {
    const key = `${host.toLowerCase()} ${pathPrefix}`
    const earlier = first.get(key)
    if (earlier === undefined) first.set(key, name)
    return earlier === undefined ? [] : [{ place: `routes.${name}`, problem: `never matches: the route "${earlier}" has the same host and path prefix` }]
  })
}

/** Organisations that no region may serve on a route, as the regions of both exclude each other. */
function unreachableOrganisationFindings ({ routes, organisations }: FleetConfiguration): readonly Finding[] {
  const keyed = routes.filter(({ isPublic, regions }) => !isPublic && regions.length > 0)
  return keyed.flatMap(route => organisations
    .filter(organisation => regionsFor(route, organisation)?.length === 0)
    .map(organisation => ({ place: `routes.${route.name}`, problem: `has no region that may serve the organisation "${organisation.name}"` })))
}

/** Routes that need a key although the configuration has no organisations: entries then ask for none. */
function openRouteFindings ({ routes, organisations }: FleetConfiguration): readonly Finding[] {
  if (organisations.length > 0) return []
  return routes.flatMap(({ name, isPublic }) => isPublic ? [] : [{ place: `routes.${name}`, problem: 'is not public, but without organisations it needs no key' }])
}

function organisationFindings (organisations: readonly Organisation[]): readonly Finding[] {
  const holders = new Map<string, string>()
  return organisations.flatMap(({ name, keys, priority }) => {
    const place = `organisations.${name}`
    const findings: Finding[] = []
    if (keys.length === 0) findings.push({ place, problem: 'has no key: none of its callers is accepted' })
    if (priority !== undefined && (priority < priorityRange.lowest || priority > priorityRange.highest)) findings.push({ place: `${place}, priority`, problem: `is ${priority}, outside ${priorityRange.lowest} to ${priorityRange.highest}` })
    for (const key of keys) {
      const holder = holders.get(key)
      holders.set(key, name)
      // The key itself must not appear in an output that is kept.
      if (holder === name) findings.push({ place, problem: 'holds a key twice' })
      else if (holder !== undefined) findings.push({ place, problem: `holds a key that "${holder}" holds too: its callers count as those of "${name}" only` })
    }
    return findings
  })
}

function serviceFindings (service: Service, configuration: FleetConfiguration): readonly Finding[] {
  const { name, engine, maximumConnections, coldMilliseconds, coldRequestsPerSecond } = service
  const isUsed = service.origin !== undefined || configuration.routes.some(({ targets }) => targets.some(target => target.service === name))
  const hasOrigin = [...configuration.services.values()].some(({ origin }) => origin !== undefined)
  const checks: readonly (readonly [boolean, string])[] = [
    [!isUsed, 'is used by no route'],
    [engine !== undefined && maximumConnections > 0 && maximumConnections < engine.slots, `allows ${maximumConnections} connections, below the ${engine?.slots ?? 0} slots of an engine`],
    [engine !== undefined && engine.slots < 1, 'has engines without a slot'],
    [engine !== undefined && engine.chunkCount > 0 && !hasOrigin, 'loads weights, but no service is their origin'],
    [coldRequestsPerSecond > 0 && coldMilliseconds <= 0, 'limits the requests to a cold upstream, but none is ever cold'],
    [coldRequestsPerSecond < 0 || coldMilliseconds < 0, 'has a negative limit for cold upstreams']
  ]
  return checks.flatMap(([isFound, problem]) => isFound ? [{ place: `services.${name}`, problem }] : [])
}

function callerLimitFindings ({ limits }: FleetConfiguration): readonly Finding[] {
  const notPositive = Object.entries(limits).filter(([, value]) => value <= 0)
  return notPositive.map(([name]) => ({ place: `limits.${name}`, problem: 'is not above 0: no request can be received' }))
}
