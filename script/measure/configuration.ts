/** Measures the configuration's way to every node: time to be in force, through an outage of the log, and control bytes. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { ConfigurationFollower, type InstanceSource } from '../../src/nodes/configuration-follower.js'
import { ControlService, serveControl, type ControlServer, type FollowEvent, type FollowRequest, type FollowSession } from '../../src/transports/control.js'
import { HttpLogClient, streams, type LogClient } from '../../src/transports/log-client.js'
import type { Change, Configuration } from '../../src/types/configuration.js'
import type { NodeDescription } from '../../src/types/messages.js'
import type { ListedInstance } from '../../src/types/platform.js'
import { waitUntil } from '../../src/utils/clock.js'
import { LogStandIn } from '../../stand-in/log.js'
import type { MeasureTable } from './table.js'

const sizes = [3, 12, 40]
const dataCentres = ['west', 'middle', 'east'] as const
const entriesAtMost = 9
const changes = 40
const changeSpacingMilliseconds = 100
const idleMilliseconds = 8000
const outageMilliseconds = 7000
const hangMilliseconds = 60_000

/** Runs the trials; words are numbers of nodes. */
export async function measureConfiguration (_seed: number, words: readonly string[]): Promise<MeasureTable> {
  const chosen = words.length === 0 ? sizes : words.map(Number)
  const rows: Array<Readonly<Record<string, string | number>>> = []
  for (const nodes of chosen) rows.push(await measureSize(nodes))
  return { subject: 'configuration in force on every node, log stand-in and real gRPC in one process; bytes are TCP payload between nodes, both ways', rows }
}

async function measureSize (count: number): Promise<Readonly<Record<string, string | number>>> {
  const bench = await Bench.start(count)
  try {
    const idleFrom = bench.bytes
    await waitUntil(Date.now() + idleMilliseconds)
    const idleBytes = bench.bytes - idleFrom
    const busyFrom = bench.bytes
    const busyAt = Date.now()
    const latencies: number[] = []
    for (let index = 0; index < changes; index++) {
      latencies.push(...await bench.change(index))
      await waitUntil(Date.now() + changeSpacingMilliseconds)
    }
    const busyBytes = bench.bytes - busyFrom - idleBytes * (Date.now() - busyAt) / idleMilliseconds
    const outage = await bench.passOutage()
    const perNode = (bytes: number): number => Math.round(2 * bytes / count)
    latencies.sort((left, right) => left - right)
    return {
      nodes: count,
      'in force p50 ms': Math.round(quantile(latencies, 0.5)),
      'p99 ms': Math.round(quantile(latencies, 0.99)),
      'after outage ms': Math.round(outage.inForceMilliseconds),
      'refusing samples in outage': outage.refusals,
      'idle bytes/s a node': perNode(idleBytes / idleMilliseconds * 1000),
      'busiest served bytes/s': Math.round(bench.busiestIdle / idleMilliseconds * 1000),
      'bytes a change a node': perNode(busyBytes / changes)
    }
  } finally {
    bench.stop()
  }
}

/** Log, list, and nodes behind relays that count bytes. */
class Bench implements InstanceSource {
  private readonly nodes: BenchNode[] = []
  private readonly listeners = new Set<() => void>()
  private listed: readonly ListedInstance[] = []
  private revision = 0
  /** Bytes that the busiest relay passed until the first change. */
  busiestIdle = 0

  private constructor (private readonly log: LogStandIn, private readonly server: Server, private readonly client: LogClient, private readonly url: string) {}

  static async start (count: number): Promise<Bench> {
    const log = new LogStandIn()
    const { server, port } = await log.listen('127.0.0.1:0')
    const url = `http://127.0.0.1:${port}`
    const bench = new Bench(log, server as unknown as Server, new HttpLogClient(url), url)
    await bench.append({ kind: 'replace', configuration })
    for (let index = 0; index < count; index++) bench.nodes.push(await BenchNode.start(bench, index, bench.url))
    bench.listed = bench.nodes.map(({ listed }) => listed)
    for (const listener of bench.listeners) listener()
    await bench.until(() => bench.nodes.every(({ follower }) => follower.state.next === 1 && follower.mayTakeWork()))
    await waitUntil(Date.now() + 1000)
    for (const node of bench.nodes) node.relay.bytes = 0
    return bench
  }

  get instances (): readonly ListedInstance[] {
    return this.listed
  }

  get bytes (): number {
    return this.nodes.reduce((sum, { relay }) => sum + relay.bytes, 0)
  }

  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  /** Appends a change; returns how long each node took from then on, milliseconds. */
  async change (index: number): Promise<readonly number[]> {
    if (index === 0) this.busiestIdle = Math.max(...this.nodes.map(({ relay }) => relay.bytes))
    const next = this.revision + 2
    const from = performance.now()
    const arrivals = this.nodes.map(async node => await node.reach(next, from))
    await this.append({ kind: 'data-centre', dataCentre: 'east', state: index % 2 === 0 ? 'out' : 'in' })
    return await Promise.all(arrivals)
  }

  /** Takes the log down for a while, counts nodes that refuse, and times the first change after it. */
  async passOutage (): Promise<{ readonly inForceMilliseconds: number, readonly refusals: number }> {
    let refusals = 0
    this.log.faults.outage = true
    const end = Date.now() + outageMilliseconds
    while (Date.now() < end) {
      refusals += this.nodes.filter(({ follower }) => !follower.mayTakeWork()).length
      await waitUntil(Date.now() + 20)
    }
    this.log.faults.outage = false
    return { inForceMilliseconds: Math.max(...await this.change(changes)), refusals }
  }

  stop (): void {
    for (const node of this.nodes) node.stop()
    this.server.close()
  }

  private async append (change: Change): Promise<void> {
    const basedOn = change.kind === 'replace' ? -1 : this.revision
    const body = JSON.stringify({ type: 'change', id: `change-${this.revision}`, basedOn, author: 'measure', at: Date.now(), change })
    const [offset] = await this.client.append(streams.configuration, [body], Date.now() + hangMilliseconds)
    this.revision = offset ?? this.revision
  }

  private async until (condition: () => boolean): Promise<void> {
    const deadline = Date.now() + hangMilliseconds
    while (!condition()) {
      if (Date.now() > deadline) throw new Error('the nodes did not settle')
      await waitUntil(Date.now() + 20)
    }
  }
}

class BenchNode extends ControlService {
  private control: ControlServer | undefined

  private constructor (readonly follower: ConfigurationFollower, readonly listed: ListedInstance, readonly relay: Relay) {
    super()
  }

  static async start (directory: InstanceSource, index: number, url: string): Promise<BenchNode> {
    const instance = `node-${index}`
    const dataCentre = dataCentres[index % dataCentres.length] ?? 'west'
    const follower = new ConfigurationFollower({ client: new HttpLogClient(url), directory, instance, dataCentre })
    const relay = new Relay()
    const address = await relay.listen()
    const listed: ListedInstance = { instance, role: index < entriesAtMost ? 'entry' : 'upstream', service: '', dataCentre, region: dataCentre, state: 'live', address, controlAddress: address }
    const node = new BenchNode(follower, listed, relay)
    node.control = await serveControl('127.0.0.1:0', node)
    relay.target = node.control.port
    follower.start()
    return node
  }

  describe (): NodeDescription {
    throw new Error('the bench describes no nodes')
  }

  follow (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession {
    return this.follower.serve(request, send)
  }

  /** Milliseconds from `from` until the node has everything before `next` in force. */
  async reach (next: number, from: number): Promise<number> {
    return await new Promise(resolve => {
      this.follower.onChange(() => { if (this.follower.state.next >= next) resolve(performance.now() - from) })
    })
  }

  stop (): void {
    this.follower.stop()
    this.control?.close()
    this.relay.close()
  }
}

/** Counts the bytes towards and from one node's control port. */
class Relay {
  bytes = 0
  /** Port to pass the bytes to. */
  target = 0
  private readonly sockets = new Set<Socket>()
  private readonly server: Server

  constructor () {
    this.server = createServer(near => {
      const far = connect(this.target, '127.0.0.1')
      for (const [from, to] of [[near, far], [far, near]] as const) {
        this.sockets.add(from)
        from.on('data', part => { this.bytes += part.length })
        from.on('error', () => { to.destroy() })
        from.on('close', () => { to.destroy() })
        from.pipe(to)
      }
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }
}

function quantile (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

const configuration: Configuration = {
  deployment: { name: 'measure', weighting: 'service', logDataCentre: 'west', whenIsolated: 'refuse' },
  dataCentres: Object.fromEntries(dataCentres.map(name => [name, { region: name, state: 'in' as const }])),
  organisations: {},
  services: {},
  intents: {}
}
