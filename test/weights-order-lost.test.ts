/** An engine must get requests again once it serves what it was ordered to load, although the answer to the order was lost. */
import { test } from 'tap'
import type { EngineReport } from '../src/types/fleet.js'
import { EnginePort, OriginPort, type OrderResult } from '../src/types/ports.js'
import { digestBytes } from '../src/utils/digest.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { writeLogs } from '../src/utils/log.js'
import type { LoadReport, Subscription } from '../src/types/node-messages.js'
import { model, service, WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 4
const chunkOf = (position: number): Buffer => Buffer.alloc(64, position + 1)

class MemoryOrigin extends OriginPort {
  /** `lastDelayMilliseconds`: time by which the last chunk is late. */
  constructor (private readonly lastDelayMilliseconds = 0) {
    super()
  }

  async digests (): Promise<readonly string[]> { return Array.from({ length: chunkCount }, (_, position) => digestBytes(chunkOf(position))) }
  async chunk (_address: string, _model: string, _version: number, position: number): Promise<Buffer> {
    if (position === chunkCount - 1) await sleepUntil(monotonicNow() + this.lastDelayMilliseconds)
    return chunkOf(position)
  }
}

/** What becomes of the first order; `unchecked`: what is staged cannot be read before any order; `unstaged`: nothing can be staged. */
type FirstOrder = 'answered' | 'begun, answer lost' | 'lost' | 'unchecked' | 'unstaged'

/** Serves version 1, or nothing, until it has loaded another version. */
class OrderedEngine extends EnginePort {
  orders = 0
  private readonly stagedChunks = new Map<number, Buffer>()
  private loading: { readonly version: number, readonly until: number } | undefined

  constructor (private served: number, private readonly first: FirstOrder) {
    super()
  }

  async report (): Promise<EngineReport> {
    if (this.loading !== undefined && monotonicNow() >= this.loading.until) {
      this.served = this.loading.version
      this.loading = undefined
    }
    return { startedAt: 1, orders: this.orders, isSwapping: this.loading !== undefined, running: 0, waiting: 0, weights: this.served === 0 ? undefined : { model, version: this.served } }
  }

  async staged (): Promise<readonly number[]> { return [...this.stagedChunks.keys()] }
  async stagedChunk (_model: string, position: number): Promise<Buffer | undefined> {
    if (this.first === 'unchecked') throw new Error('no answer')
    return this.stagedChunks.get(position)
  }

  async stage (_model: string, position: number, chunk: Buffer): Promise<void> {
    if (this.first === 'unstaged') throw new Error('no answer')
    this.stagedChunks.set(position, chunk)
  }

  async load (_model: string, version: number, ordersBefore: number): Promise<OrderResult> {
    this.received += 1
    if (ordersBefore !== this.orders || this.loading !== undefined) return 'conflict'
    if (this.received === 1 && this.first === 'lost') throw new Error('no answer')
    this.orders += 1
    this.loading = { version, until: monotonicNow() + 300 }
    if (this.received === 1 && this.first === 'begun, answer lost') throw new Error('no answer')
    return 'begun'
  }

  /** Orders that arrived. */
  received = 0
}

const cases: readonly { readonly name: string, readonly served: number, readonly first: FirstOrder }[] = (['answered', 'begun, answer lost', 'lost'] as const).flatMap(first => [
  { name: `an engine without weights, its first order is ${first}`, served: 0, first },
  { name: `a rollout, its first order is ${first}`, served: 1, first }
])

const subscription: Subscription = {
  kind: 'subscription',
  vouched: undefined,
  dataCentre: 'zone-a',
  service,
  weights: [{ model, version: 2, ageMilliseconds: 0 }],
  agents: [],
  rollout: { configurationVersion: 7, ageMilliseconds: 0, models: [model], chunkCount, chunkBytes: 64, origin: { address: '127.0.0.1:1', bytesPerSecond: 1_000_000 }, isResumable: false }
}

const impossible: readonly { readonly name: string, readonly first: FirstOrder, readonly lastDelayMilliseconds: number }[] = [
  { name: 'what is staged cannot be read', first: 'unchecked', lastDelayMilliseconds: 0 },
  { name: 'nothing can be staged at an engine that was closed early', first: 'unstaged', lastDelayMilliseconds: 800 }
]

for (const { name, first, lastDelayMilliseconds } of impossible) {
  test(`order to an engine: one that cannot be given does not keep the engine closed: ${name}`, async t => {
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(new OrderedEngine(1, first), new MemoryOrigin(lastDelayMilliseconds))
    await node.sendFor(6000, subscription)
    const isClosed = node.received.flatMap(message => message.kind === 'load' ? [message.isSwapping] : [])
    t.ok(isClosed.includes(true), 'the engine was closed for its swap')
    t.equal(isClosed.includes(false, isClosed.indexOf(true)), true, 'it is open again, with the version that it has')
  })
}

for (const { name, served, first } of cases) {
  test(`order to an engine: ${name}`, async t => {
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(new OrderedEngine(served, first), new MemoryOrigin())
    await node.sendFor(3000, subscription)
    await sleepUntil(monotonicNow() + 200)
    const last = node.received.filter((message): message is LoadReport => message.kind === 'load').at(-1)
    t.match(last, { version: 2, isSwapping: false }, 'entries may send requests to the engine')
  })
}
