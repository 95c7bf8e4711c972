/** A started weights agent with fakes of the log, the engine and the origin, and an entry that subscribes to it. */
import type { LogPosition } from '../../src/core/log-position.js'
import { rolloutFactsOf } from '../../src/core/weights/rollout-facts.js'
import { startWeightsAgent } from '../../src/roles/weights/weights-agent.js'
import { DatagramSocket } from '../../src/transports/datagrams.js'
import type { EngineReport, FleetConfiguration, OperatorRecord, Upstream } from '../../src/types/fleet.js'
import type { NodeMessage, Subscription } from '../../src/types/node-messages.js'
import type { WeightsSettings } from '../../src/types/node-settings.js'
import { EnginePort, OriginPort, RecordCodec, RecordLog, type KeyedRecord, type ReadCost, type ReadRecords, type OrderResult, type RecordPage, type StreamName } from '../../src/types/ports.js'
import { sleepUntil, monotonicNow } from '../../src/utils/clock.js'
import { freshIp, internalPort } from './entry-group.js'
import { at } from './positions.js'

export const model = 'badge'
export const service = 'engines'

export const settings: WeightsSettings = {
  role: 'weights',
  instance: 'agent-1',
  ip: '127.0.0.1',
  dataCentre: 'zone-a',
  region: 'north',
  regionByDataCentre: new Map(),
  internalPort: 0,
  seeds: ['127.0.0.2'],
  store: '',
  configurationApplyMilliseconds: 2000,
  drainMilliseconds: 2000,
  rolloutMilliseconds: 8000,
  stopGraceMilliseconds: 8000,
  retryRatio: 0.2,
  retryWindowMilliseconds: 10_000,
  retrySlack: 10,
  coldFactor: 1.5,
  coldSlack: 5,
  stableMilliseconds: 3000,
  engine: '',
  service,
  linkBytesPerSecond: 0
}

/** Configuration whose service has one model, with `version` as its version and as the number of chunks. */
export function configurationOf (version: number): FleetConfiguration {
  const engine = { slots: 4, layers: 4, chunkCount: version, chunkBytes: 16, models: [model], stepMilliseconds: 10, promptTokensPerSecond: 1000, stepsPerPass: 1, typicalPromptTokens: 10, typicalAnswerTokens: 10 }
  return {
    version,
    routes: [],
    services: new Map([
      [service, { name: service, maximumConnections: 0, coldMilliseconds: 0, coldRequestsPerSecond: 0, engine, origin: undefined }],
      ['origin', { name: 'origin', maximumConnections: 0, coldMilliseconds: 0, coldRequestsPerSecond: 0, engine: undefined, origin: { address: '127.0.0.1:9', bytesPerSecond: 1000 } }]
    ]),
    organisations: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }
  }
}

/** Subscription of an entry with that configuration in force, with the given parts. */
export function subscriptionOf (version: number, parts: Partial<Subscription> = {}): Subscription {
  const rollout = { ...rolloutFactsOf(configurationOf(version), service), ageMilliseconds: 30 }
  return { kind: 'subscription', dataCentre: 'zone-a', service, weights: [], agents: [], rollout, vouched: undefined, ...parts }
}

/** Cost of reads in memory. */
export const noCost: ReadCost = { bytes: 0, firstByteMilliseconds: 0, milliseconds: 0, records: 0, superseded: 0 }

/** Log of operators' records that are set by tests; it counts reads. */
export class FakeLog extends RecordLog {
  readonly reads: Record<StreamName, number> = { operators: 0, instances: 0, entries: 0 }
  /** Number of operators' records in its answers. */
  sentRecords = 0
  isAvailable = true
  /** Records of the operators' stream, the offset of each being its position. */
  private operators: readonly KeyedRecord[] = []
  private instances: readonly KeyedRecord[] = []

  async newest (stream: StreamName): Promise<ReadRecords> {
    this.count(stream)
    const records = this.recordsOf(stream)
    const keys = [...new Set(records.map(({ key }) => key))]
    if (stream === 'operators') this.sentRecords += keys.length
    return { records: keys.flatMap(key => records.findLast(record => record.key === key) ?? []), next: at(records.length), cost: noCost }
  }

  async read (stream: StreamName, { offset: from }: LogPosition, waitUntil: number): Promise<RecordPage> {
    this.count(stream)
    const records = this.recordsOf(stream)
    if (from >= records.length) await sleepUntil(waitUntil)
    const following = records.slice(from)
    if (stream === 'operators') this.sentRecords += following.length
    return { kind: 'records', records: following, next: at(records.length), end: records.length, cost: noCost }
  }

  async write (): Promise<void> {}

  /** Appends an operators' record. */
  append (key: string, number: number): void {
    this.operators = [...this.operators, { key, value: Buffer.from(String(number)), ...at(this.operators.length) }]
  }

  /** Lists an agent of the service. */
  addInstance (ip: string): void {
    this.instances = [...this.instances, { key: ip, value: Buffer.from(ip), ...at(this.instances.length) }]
  }

  private recordsOf (stream: StreamName): readonly KeyedRecord[] {
    return stream === 'operators' ? this.operators : stream === 'instances' ? this.instances : []
  }

  private count (stream: StreamName): void {
    this.reads[stream] += 1
    if (!this.isAvailable) throw new Error('the log is down')
  }
}

/** Decodes `configuration` and `weights` records, whose value is a version, and instances, whose value is an IP. */
export class FakeCodec extends RecordCodec {
  operatorRecord (key: string, value: Buffer | undefined): OperatorRecord {
    const version = Number(value)
    if (key === 'configuration') return { kind: 'configuration', configuration: configurationOf(version) }
    if (key === 'weights') return { kind: 'weights', weights: { model, version } }
    return { kind: 'unknown', reason: 'unknown key' }
  }

  evacuatedDataCentre (): undefined {}

  upstream (key: string, value: Buffer): Upstream {
    return { id: key, service, address: `${value.toString()}:80`, dataCentre: 'zone-a', slots: 4, isDraining: false, coldMilliseconds: 0, startedAt: 0, weights: undefined, isEngine: true }
  }
}

class FakeEngine extends EnginePort {
  async report (): Promise<EngineReport> {
    return { startedAt: 1, orders: 0, isSwapping: false, running: 0, waiting: 0, weights: undefined }
  }

  async staged (): Promise<readonly number[]> { return [] }
  async stagedChunk (): Promise<undefined> {}
  async stage (): Promise<void> {}
  async load (): Promise<OrderResult> { return 'refused' }
}

/** Records which versions an agent asks the origin for. */
export class FakeOrigin extends OriginPort {
  readonly requested = new Set<string>()

  async digests (address: string, requestedModel: string, version: number): Promise<readonly string[]> {
    this.requested.add(`${address} ${requestedModel} ${version}`)
    throw new Error('the origin is down')
  }

  async chunk (): Promise<Buffer> { throw new Error('the origin is down') }
}

/** A running agent, and the socket of an entry at another loopback address with the same port. */
export class WeightsNode {
  readonly log = new FakeLog()
  readonly origin = new FakeOrigin()
  private readonly ip = freshIp()
  private readonly entryIp = freshIp()
  /** Port of both, which other processes have at other addresses. */
  readonly port = internalPort
  private readonly entry = new DatagramSocket(this.port, message => { this.received.push(message) })
  /** Messages that the entry received. */
  readonly received: NodeMessage[] = []
  private readonly stops: (() => unknown)[] = []

  /** Starts the entry's socket and the agent, by default beside an engine that has no weights. */
  async start (engine: EnginePort = new FakeEngine(), origin: OriginPort = this.origin): Promise<void> {
    this.stops.push(() => { this.entry.close() })
    await this.entry.open(this.entryIp)
    const node = await startWeightsAgent({ ...settings, ip: this.ip, seeds: [this.entryIp], internalPort: this.port }, { records: this.log, codec: new FakeCodec(), engine, origin })
    this.stops.unshift(() => node.stop())
  }

  async stop (): Promise<void> {
    for (const stop of this.stops) await stop()
  }

  /** Sends a message from the entry. */
  send (message: NodeMessage): void {
    this.entry.send(message, this.ip)
  }

  /** Text of the agent's metrics page. */
  async metrics (): Promise<string> {
    return await (await fetch(`http://${this.ip}:${this.port}/metrics`)).text()
  }

  /** Repeats `send` each 200 ms for `milliseconds`. */
  async sendFor (milliseconds: number, message: NodeMessage): Promise<void> {
    const end = monotonicNow() + milliseconds
    while (monotonicNow() < end) {
      this.send(message)
      await sleepUntil(monotonicNow() + 200)
    }
  }
}
