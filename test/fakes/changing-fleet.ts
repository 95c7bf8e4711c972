/** A deployment whose configuration changes: four services with their upstreams, one entry, and what arrived at the upstreams. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { startEntries, type GroupedEntry } from './entry-group.js'
import { SharedLog } from './shared-log.js'

/** Data centre, and region, of all parts. */
export const home = 'zone-a'
/** Key that the requests on the routes carry. */
export const callerKey = 'key-1'

/** A record of the configuration as operators write it. */
export interface RouteRecord { readonly name: string, readonly 'path-prefix': string, readonly service?: string, readonly [field: string]: unknown }
export interface ServiceRecord { readonly name: string, readonly [field: string]: unknown }
export interface OrganisationRecord { readonly name: string, readonly 'api-keys': readonly string[], readonly [field: string]: unknown }
export interface ConfigurationRecord {
  readonly routes: readonly RouteRecord[]
  readonly services: readonly ServiceRecord[]
  readonly tenants: readonly OrganisationRecord[]
  readonly limits: Readonly<Record<string, number>>
}

const bytesOf = (value: object): Buffer => Buffer.from(JSON.stringify(value))

function route (name: string, service: string, type: 'safe' | 'unsafe' | 'stream' = 'safe'): RouteRecord {
  return { name, host: 'a.example', 'path-prefix': `/${name}/`, service, 'route-type': type, 'timeout-ms': 4000, 'latency-goal-ms': 3000, priority: 1, 'max-attempts': 2, public: false }
}

/** The configuration at the start. */
export const firstConfiguration: ConfigurationRecord = {
  routes: [route('plain', 'plain'), route('once', 'plain', 'unsafe'), route('stream', 'plain', 'stream'), { ...route('stream/again', 'plain', 'stream'), resumable: true }, route('queue', 'queue'), route('narrow', 'narrow'), route('narrow-once', 'narrow', 'unsafe')],
  services: [{ name: 'plain', 'max-conns': 80 }, { name: 'queue', 'max-conns': 80 }, { name: 'narrow', 'max-conns': 2 }, { name: 'other', 'max-conns': 80 }],
  tenants: [{ name: 'o', 'api-keys': [callerKey, 'key-2'] }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 1 << 20, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 }
}

/** Upstreams by key: their service and slots. */
const upstreams: readonly { readonly key: string, readonly service: string, readonly slots: number }[] = [
  { key: 'p-1', service: 'plain', slots: 200 },
  { key: 'p-2', service: 'plain', slots: 200 },
  { key: 'q-1', service: 'queue', slots: 1 },
  { key: 'n-1', service: 'narrow', slots: 200 },
  { key: 'o-1', service: 'other', slots: 200 }
]

/** The log, the upstreams and the entry. */
export class ChangingFleet {
  readonly log = new SharedLog(home)
  /** Ids of the requests that reached an upstream. */
  readonly arrived = new Set<string>()
  /** Names of the organisations that upstreams were told. */
  readonly organisations = new Set<string>()
  /** Names that the organisations had in any configuration; the text for no organisation. */
  readonly organisationNames = new Set<string>(['undefined'])
  configuration = firstConfiguration
  version = 0
  private readonly servers = new Map<string, Server>()
  private started: GroupedEntry | undefined

  get entry (): GroupedEntry {
    if (this.started === undefined) throw new Error('the entry has not been started')
    return this.started
  }

  /** Starts the upstreams and the entry, and resolves once it has the configuration and the upstreams. */
  async start (configuration = firstConfiguration): Promise<void> {
    this.configure(configuration)
    for (const { key } of upstreams) {
      const server = createServer((incoming, response) => { this.serve(incoming, response) })
      this.servers.set(key, server)
      await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
      this.writeUpstream(key)
    }
    this.started = (await startEntries(this.log, [home], 1))[0]
  }

  async stop (): Promise<void> {
    await this.entry.node.stop()
    for (const server of this.servers.values()) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Writes the next version of the configuration. */
  configure (configuration: ConfigurationRecord): void {
    this.configuration = configuration
    this.version += 1
    for (const { name } of configuration.tenants) this.organisationNames.add(name)
    this.log.append('operators', 'config', bytesOf({ version: this.version, ...configuration }))
  }

  writeUpstream (key: string, state: 'ready' | 'draining' = 'ready'): void {
    const upstream = upstreams.find(candidate => candidate.key === key)
    const port = (this.servers.get(key)?.address() as AddressInfo).port
    this.log.append('instances', key, bytesOf({ service: upstream?.service, address: `127.0.0.1:${port}`, zone: home, state, slots: upstream?.slots, born: 1000 }))
  }

  removeUpstream (key: string): void {
    this.log.append('instances', key, undefined)
  }

  evacuate (): void {
    this.log.append('operators', `evacuate/${home}`, bytesOf({}))
  }

  endEvacuation (): void {
    this.log.append('operators', `evacuate/${home}`, undefined)
  }

  /** Answers after the time that the request names; a stream sends its first event at once. */
  private serve (incoming: IncomingMessage, response: ServerResponse): void {
    const id = String(incoming.headers['x-attempt-id'])
    this.arrived.add(id)
    this.organisations.add(Buffer.from(String(incoming.headers['x-tenant']), 'latin1').toString('utf8'))
    const head = { 'x-server-stamp': 'stamp', 'x-attempt-id': id }
    const isStream = incoming.url?.startsWith('/stream/') === true
    if (isStream) response.writeHead(200, { ...head, 'content-type': 'text/event-stream' }).write('id: 1\ndata: 1\n\n')
    incoming.resume()
    incoming.on('end', () => {
      setTimeout(() => {
        if (isStream) response.end('id: 2\ndata: 2\n\n')
        else response.writeHead(200, head).end('done')
      }, Number(incoming.headers['x-hold-ms'] ?? 0))
    })
  }
}
