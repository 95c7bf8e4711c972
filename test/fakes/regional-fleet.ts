/** Entries, agents with engines, an origin of weights and a store in data centres that share narrow links. */
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { PlatformOrigin } from '../../platform/engine.js'
import { topics } from '../../platform/names.js'
import { PlatformRecords } from '../../platform/records.js'
import { PlatformStore } from '../../platform/store.js'
import type { RunningNode } from '../../src/nodes/running-node.js'
import { startWeightsAgent } from '../../src/roles/weights/weights-agent.js'
import type { EngineReport } from '../../src/types/fleet.js'
import { EnginePort, type OrderResult } from '../../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'
import { rankMembers } from '../../src/utils/rendezvous.js'
import { freshIp, internalPort, metricOf, startEntries, type GroupedEntry, type StartAt } from './entry-group.js'
import { PlatformStoreStandIn } from './platform-store.js'
import { SharedNetwork } from './shared-network.js'
import { settings as agentSettings } from './weights-node.js'

/** Data centres of the fleet; the store and the origin are in the first one. */
export const dataCentres = ['home', 'east', 'west'] as const
/** Rate of a link between data centres: 16 Mbit/s. */
export const linkBytesPerSecond = 2_000_000
const delayMilliseconds = 2
/** Rate of an agent's own link: 5.1 Mbit/s; and of the origin's: 7.3 Mbit/s. */
const agentBytesPerSecond = 640_000
const originBytesPerSecond = 912_000
const [chunkCount, chunkBytes] = [96, 24_576] as const
const swapMilliseconds = 800
const model = 'weights-a'
const service = 'engines'

/** Size of a fleet, per data centre. */
export interface FleetSize {
  readonly entries: number
  readonly agents: number
  /** See `GroupOptions`. */
  readonly stopGraceMilliseconds?: number
}

const chunkOf = (version: number, position: number): Buffer => {
  const seed = createHash('sha256').update(`${version}/${position}`).digest()
  return Buffer.alloc(chunkBytes, seed)
}

/** Origin of weights, which refuses connections while it is away. */
class FakeOrigin {
  isAway = false
  sentChunks = 0
  private freeAt = 0
  private readonly sockets = new Set<Socket>()
  private readonly server: Server = createServer((incoming, response) => { this.serve(incoming, response).catch(() => { response.destroy() }) })

  async start (): Promise<string> {
    this.server.on('connection', socket => {
      if (this.isAway) socket.resetAndDestroy()
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    })
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  stop (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private async serve (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://origin')
    const version = Number(url.searchParams.get('version'))
    if (url.pathname.startsWith('/manifest/')) {
      const digests = Array.from({ length: chunkCount }, (_, position) => createHash('sha256').update(chunkOf(version, position)).digest('hex'))
      response.end(JSON.stringify({ version, digests }))
      return
    }
    this.sentChunks += 1
    this.freeAt = Math.max(this.freeAt, monotonicNow()) + chunkBytes / originBytesPerSecond * 1000
    await sleepUntil(this.freeAt)
    response.end(chunkOf(version, Number(url.searchParams.get('sample-count'))))
  }
}

/** Engine whose record in the instance list follows its version. */
class FakeEngine extends EnginePort {
  version = 1
  private orders = 0
  private readonly held = new Map(Array.from({ length: chunkCount }, (_, position) => [position, chunkOf(1, position)]))
  private swapUntil = 0

  constructor (private readonly changed: (version: number) => void) {
    super()
  }

  async report (): Promise<EngineReport> {
    return { startedAt: 1, orders: this.orders, isSwapping: monotonicNow() < this.swapUntil, running: 0, waiting: 0, weights: { model, version: this.version } }
  }

  async staged (): Promise<readonly number[]> { return [...this.held.keys()] }
  async stagedChunk (_model: string, position: number): Promise<Buffer | undefined> { return this.held.get(position) }
  async stage (_model: string, position: number, chunk: Buffer): Promise<void> { this.held.set(position, chunk) }

  async load (_model: string, version: number): Promise<OrderResult> {
    this.orders += 1
    this.swapUntil = monotonicNow() + swapMilliseconds
    setTimeout(() => {
      this.version = version
      this.changed(version)
    }, swapMilliseconds)
    return 'begun'
  }
}

/** An agent and its engine. */
export interface FleetAgent {
  readonly dataCentre: string
  readonly ip: string
  readonly engine: FakeEngine
  readonly node: RunningNode
}

/** A running fleet. */
export class RegionalFleet {
  readonly origin = new FakeOrigin()
  entries: readonly GroupedEntry[] = []
  agents: readonly FleetAgent[] = []
  private originAddress = ''
  private readonly stopped = new Set<string>()

  private constructor (readonly network: SharedNetwork, readonly store: PlatformStoreStandIn) {}

  /** Starts the store, the origin, the entries and the agents, and waits until all know each other. */
  static async start (size: FleetSize): Promise<RegionalFleet> {
    const network = await SharedNetwork.open({ bytesPerSecond: linkBytesPerSecond, delayMilliseconds })
    const fleet = new RegionalFleet(network, await PlatformStoreStandIn.start())
    network.place(fleet.store.address, dataCentres[0])
    fleet.originAddress = await fleet.origin.start()
    network.place(fleet.originAddress, dataCentres[0])
    fleet.configure(1, 253)
    for (const index of Array.from({ length: 6 }).keys()) fleet.listPlain(index, 'ready')
    await fleet.startNodes(size)
    return fleet
  }

  /** Writes a configuration. */
  configure (version: number, routes: number): void {
    this.store.append(topics.operators, 'config', this.configurationOf(version, routes))
  }

  /** Names weights. */
  nameWeights (version: number): void {
    this.store.append(topics.operators, `version/${model}`, Buffer.from(JSON.stringify({ 'model-id': model, version })))
  }

  /** Writes the record of a plain upstream. */
  listPlain (index: number, state: 'ready' | 'draining'): void {
    this.store.append(topics.instances, `plain-${index}`, Buffer.from(JSON.stringify({ service: 'ledger', address: `127.0.0.1:${20_000 + index}`, zone: 'home', state, slots: 6, 'cold-left-ms': 0, sequence: 0, born: 1 })))
  }

  /** Entries of a data centre in the order in which they read the log. */
  readersOf (dataCentre: string): readonly GroupedEntry[] {
    const local = new Map(this.entries.filter(entry => entry.dataCentre === dataCentre).map(entry => [entry.instance, entry]))
    return rankMembers(`records/${dataCentre}`, [...local.keys()]).flatMap(instance => local.get(instance) ?? [])
  }

  /** Stops an entry as planned. */
  async stopEntry (entry: GroupedEntry): Promise<void> {
    this.stopped.add(entry.instance)
    await entry.node.stop()
  }

  async stop (): Promise<void> {
    await Promise.all(this.entries.flatMap(entry => this.stopped.has(entry.instance) ? [] : this.stopEntry(entry)))
    await Promise.all(this.agents.map(({ node }) => node.stop()))
    this.origin.stop()
    this.store.close()
    this.network.close()
  }

  private async startNodes ({ entries, agents, stopGraceMilliseconds }: FleetSize): Promise<void> {
    const log = { readerIn: () => new PlatformStore(this.store.address) }
    const startAt: StartAt = (place, start) => {
      this.network.place(place.ip, place.dataCentre)
      return this.network.run(place, start)
    }
    this.entries = await startEntries(log, dataCentres, entries, [], new Map(), { startAt, ...stopGraceMilliseconds === undefined ? {} : { stopGraceMilliseconds } })
    const seeds = this.entries.slice(0, 3).map(({ internal }) => internal.split(':')[0] ?? '')
    this.agents = await Promise.all(dataCentres.flatMap(dataCentre => Array.from({ length: agents }, () => this.startAgent(dataCentre, seeds))))
    const isKnown = async (entry: GroupedEntry): Promise<boolean> => await metricOf(entry, 'pollendyke_living_entries') === this.entries.length && await metricOf(entry, 'pollendyke_configuration_version') === 1
    const deadline = monotonicNow() + 30_000
    while (!(await Promise.all(this.entries.map(isKnown))).every(known => known)) {
      if (monotonicNow() > deadline) throw new Error('the entries did not find each other')
      await sleepUntil(monotonicNow() + 200)
    }
  }

  private async startAgent (dataCentre: string, seeds: readonly string[]): Promise<FleetAgent> {
    const ip = freshIp()
    this.network.place(ip, dataCentre, agentBytesPerSecond)
    const list = (version: number): void => {
      this.store.append(topics.instances, `engine-${ip}`, Buffer.from(JSON.stringify({ service, address: `${ip}:8360`, zone: dataCentre, state: 'ready', slots: 12, 'cold-left-ms': 0, sequence: version, born: 1, 'model-list': [{ name: model, version, 'adapter-list': [] }] })))
    }
    const engine = new FakeEngine(list)
    list(1)
    const settings = { ...agentSettings, instance: `agent-${ip}`, ip, dataCentre, region: dataCentre, internalPort, seeds, service, rolloutMilliseconds: 10_000, linkBytesPerSecond: agentBytesPerSecond }
    const node = await this.network.run({ dataCentre, ip }, () => startWeightsAgent(settings, { records: new PlatformStore(this.store.address), codec: new PlatformRecords(), engine, origin: new PlatformOrigin() }))
    return { dataCentre, ip, engine, node }
  }

  private configurationOf (version: number, routes: number): Buffer {
    return Buffer.from(JSON.stringify({
      version,
      routes: Array.from({ length: routes }, (_, index) => ({
        name: `r-${createHash('sha256').update(String(index)).digest('base64url').slice(0, 7)}`,
        host: `host-${index % 40}.example`,
        'path-prefix': `/${createHash('sha256').update(`path ${index}`).digest('base64url').slice(0, 8)}/`,
        service: 'ledger',
        'route-type': 'safe',
        'timeout-ms': 1500 + version,
        'latency-goal-ms': 144,
        'max-attempts': 2,
        priority: 1,
        sticky: false
      })),
      services: [
        { name: 'ledger', 'max-conns': 520 },
        { name: service, 'max-conns': 698, 'engine-config': { slots: 12, layers: 16, chunks: chunkCount, 'chunk-bytes': chunkBytes, 'model-list': [{ name: model }], step_ms: 9.27, read_per_s: 20_700, stride: 5, usual: { prompt: 979, answer: 92 } } },
        { name: 'origin-a', origin: this.originAddress, 'link-mbps': 7.3 }
      ],
      tenants: [],
      limits: {}
    }))
  }
}
