/** The changes that a configuration can make, and what operators and the platform do beside them. */
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'
import { callerKey, type ChangingFleet, type ConfigurationRecord, type RouteRecord } from './changing-fleet.js'

/** One change. */
export interface ConfigurationChange {
  readonly name: string
  readonly apply: (fleet: ChangingFleet) => Promise<void> | void
  /** Whether the new configuration does not allow the requests, so that a denial is true. */
  readonly mayDeny?: boolean
  /** Whether the new configuration leaves the requests so little time that one may end at its deadline. */
  readonly mayTimeOut?: boolean
  /** Whether the requests cannot be sent to any upstream, so that a failure without a promise is an answer. */
  readonly mayFail?: boolean
}

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

/** A change of the configuration alone. */
function change (name: string, alter: (configuration: ConfigurationRecord) => ConfigurationRecord, mayDeny = false): ConfigurationChange {
  return { name, mayDeny, apply: fleet => { fleet.configure(alter(fleet.configuration)) } }
}

/** A change of each route. */
function routeChange (name: string, alter: (route: RouteRecord) => object, mayDeny = false): ConfigurationChange {
  return change(name, configuration => ({ ...configuration, routes: configuration.routes.map(route => ({ ...route, ...alter(route) })) }), mayDeny)
}

function limitChange (name: string, limits: Readonly<Record<string, number>>): ConfigurationChange {
  return change(name, configuration => ({ ...configuration, limits: { ...configuration.limits, ...limits } }))
}

function serviceChange (name: string, fields: object): ConfigurationChange {
  return change(name, configuration => ({ ...configuration, services: configuration.services.map(service => ({ ...service, ...fields })) }))
}

/** Moves all routes to another service. */
function moveRoutes (configuration: ConfigurationRecord, service = 'other'): ConfigurationRecord {
  return { ...configuration, routes: configuration.routes.map(route => ({ ...route, service })) }
}

/** Removes the services to which no route leads. */
function removeUnusedServices (configuration: ConfigurationRecord): ConfigurationRecord {
  return { ...configuration, services: configuration.services.filter(({ name }) => configuration.routes.some(({ service }) => service === name)) }
}

const upstreamKeys = ['p-1', 'p-2', 'q-1', 'n-1']
const engine = { slots: 4, layers: 4, 'model-list': [{ name: 'm' }] }
/** Routes that make a configuration as large as the largest that are designed for. */
const manyRoutes: readonly RouteRecord[] = Array.from({ length: 10_000 }, (_, index) => ({ name: `many-${index}`, host: 'a.example', 'path-prefix': `/many-${index}/`, service: 'other', 'route-type': 'safe', 'timeout-ms': 1000, 'latency-goal-ms': 300, priority: 1, 'max-attempts': 1, public: true }))

export const configurationChanges: readonly ConfigurationChange[] = [
  change('nothing but the version', configuration => configuration),
  change('routes moved to another service', configuration => moveRoutes(configuration)),
  change('routes moved to another service, the service removed', configuration => removeUnusedServices(moveRoutes(configuration))),
  change('routes moved to a service without upstreams', configuration => ({ ...moveRoutes(configuration, 'empty'), services: [...configuration.services, { name: 'empty', 'max-conns': 8 }] })),
  routeChange('routes split', ({ service }) => ({ service: undefined, split: [{ service, weight: 50 }, { service: 'other', weight: 50 }] })),
  routeChange('routes split, all of it to another service', ({ service }) => ({ service: undefined, split: [{ service, weight: 0 }, { service: 'other', weight: 100 }] })),
  change('prefixes made longer', configuration => ({ ...configuration, routes: configuration.routes.map(route => ({ ...route, 'path-prefix': `${route['path-prefix']}longer/` })) }), true),
  change('prefixes made shorter', configuration => ({ ...configuration, routes: configuration.routes.map(route => ({ ...route, 'path-prefix': route['path-prefix'].slice(0, -1) })) })),
  change('routes added below the prefixes', configuration => ({ ...configuration, routes: [...configuration.routes, ...configuration.routes.map(route => ({ ...route, name: `${route.name}-added`, 'path-prefix': `${route['path-prefix']}1`, service: 'other' }))] })),
  change('10,000 routes added', configuration => ({ ...configuration, routes: [...configuration.routes, ...manyRoutes] })),
  change('routes removed', configuration => ({ ...configuration, routes: [] }), true),
  change('routes and services removed', configuration => ({ ...configuration, routes: [], services: [] }), true),
  { ...routeChange('timeout shortened below the time used', () => ({ 'timeout-ms': 20 })), mayTimeOut: true },
  routeChange('timeout lengthened', () => ({ 'timeout-ms': 30_000 })),
  routeChange('latency goal shortened', () => ({ 'latency-goal-ms': 10 })),
  routeChange('one attempt only', () => ({ 'max-attempts': 1 })),
  routeChange('routes made public', () => ({ public: true })),
  routeChange('routes no longer idempotent', () => ({ 'route-type': 'unsafe' })),
  routeChange('priority lowered', () => ({ priority: 9 })),
  routeChange('routes restricted to a region without upstreams', () => ({ 'allowed-regions': ['elsewhere'] })),
  change('organisation restricted to a region without upstreams', configuration => ({ ...configuration, tenants: configuration.tenants.map(organisation => ({ ...organisation, 'allowed-regions': ['elsewhere'] })) })),
  change('organisation added', configuration => ({ ...configuration, tenants: [...configuration.tenants, { name: 'p', 'api-keys': ['key-9'] }] })),
  change('organisation removed', configuration => ({ ...configuration, tenants: [{ name: 'p', 'api-keys': ['key-9'] }] }), true),
  change('all organisations removed', configuration => ({ ...configuration, tenants: [] })),
  change('organisation renamed', configuration => ({ ...configuration, tenants: configuration.tenants.map(organisation => ({ ...organisation, name: 'renamed' })) })),
  change('organisation renamed to letters outside ASCII', configuration => ({ ...configuration, tenants: configuration.tenants.map(organisation => ({ ...organisation, name: 'खाकी' })) })),
  { ...change('organisation renamed to a name that no header can carry', configuration => ({ ...configuration, tenants: configuration.tenants.map(organisation => ({ ...organisation, name: 'a\u0001b' })) })), mayFail: true },
  change('key moved to another organisation', configuration => ({ ...configuration, tenants: [{ name: 'p', 'api-keys': [callerKey] }] })),
  change('key added', configuration => ({ ...configuration, tenants: configuration.tenants.map(organisation => ({ ...organisation, 'api-keys': [...organisation['api-keys'], 'key-3'] })) })),
  change('key removed', configuration => ({ ...configuration, tenants: configuration.tenants.map(organisation => ({ ...organisation, 'api-keys': ['key-2'] })) }), true),
  change('services removed, routes left', configuration => ({ ...configuration, services: [] }), true),
  serviceChange('connections lowered to one', { 'max-conns': 1 }),
  serviceChange('connections no longer limited', { 'max-conns': 0 }),
  serviceChange('services become those of engines', { 'engine-config': engine }),
  limitChange('idle timeout lowered', { 'idle-timeout-ms': 1000 }),
  limitChange('idle timeout raised', { 'idle-timeout-ms': 60_000 }),
  limitChange('header timeout lowered', { 'header-timeout-ms': 400 }),
  limitChange('idle and header timeouts lowered', { 'idle-timeout-ms': 400, 'header-timeout-ms': 400 }),
  limitChange('header timeout raised', { 'header-timeout-ms': 30_000 }),
  limitChange('header and body bytes lowered', { 'max-header-bytes': 1024, 'max-body-bytes': 1024 }),
  limitChange('header and body bytes raised', { 'max-header-bytes': 65_536, 'max-body-bytes': 8 << 20 }),
  {
    name: 'routes moved while their upstreams drain',
    apply: fleet => {
      for (const key of upstreamKeys) fleet.writeUpstream(key, 'draining')
      fleet.configure(moveRoutes(fleet.configuration))
    }
  },
  {
    name: 'routes moved while the records of their upstreams are removed',
    apply: fleet => {
      fleet.configure(removeUnusedServices(moveRoutes(fleet.configuration)))
      for (const key of upstreamKeys) fleet.removeUpstream(key)
    }
  },
  {
    name: 'data centre evacuated and taken back',
    apply: async fleet => {
      fleet.evacuate()
      fleet.configure(moveRoutes(fleet.configuration))
      await pause(150)
      fleet.endEvacuation()
    }
  },
  {
    name: 'several changes in quick succession',
    apply: async fleet => {
      const first = fleet.configuration
      for (let count = 0; count < 20; count += 1) {
        fleet.configure(count % 2 === 0 ? removeUnusedServices(moveRoutes(first)) : first)
        await pause(20)
      }
    }
  },
  {
    name: 'the reader of records fails and reads again',
    apply: async fleet => {
      fleet.log.isUnavailable = true
      fleet.configure(removeUnusedServices(moveRoutes(fleet.configuration)))
      fleet.log.expire('operators')
      await pause(150)
      fleet.log.isUnavailable = false
    }
  }
]
