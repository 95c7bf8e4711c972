/** What an agent of the product's own role checked before it waited for running requests still holds when it orders its engine, and an order without an answer counts as one that may still come. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test, type Test } from 'tap'
import { EngineOrders, type EngineOrdersHost } from '../src/roles/agent/engine-orders.js'
import { InstanceLease } from '../src/roles/agent/lease.js'
import type { EngineState } from '../src/types/platform.js'
import { eventually } from './fakes/test-cluster.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'

const [old, wanted, other] = ['old', 'wanted', 'other']

/** An engine that serves the old weights, with one request that runs on it until `drained` is set, and the weights that its agent holds. */
class World implements EngineOrdersHost {
  readonly source = 'http://127.0.0.1:1/local'
  wanted = wanted
  isComplete = true
  unfinished = 1
  hasBegun = false
  fence: number | undefined = 7
  isSuperseded = false
  readonly orders: string[] = []
  orderResponse: 'answer' | 'drop' = 'answer'
  engine: EngineState = { incarnation: 'a', weights: old, role: 'pool', loading: null, fence: -1, running: 1 }
  swaps = true
  readonly lease: InstanceLease
  readonly engineOrders: EngineOrders
  private readonly server: Server
  upstream = ''

  constructor () {
    const world = this
    this.lease = { start () {}, stop () {}, get fence () { return world.fence }, get isSuperseded () { return world.isSuperseded } } as unknown as InstanceLease
    this.engineOrders = new EngineOrders(this, this.lease)
    this.server = createServer((incoming, response) => {
      const parts: Buffer[] = []
      incoming.on('data', (part: Buffer) => { parts.push(part) })
      incoming.on('end', () => {
        this.orders.push((JSON.parse(Buffer.concat(parts).toString()) as { readonly manifest: string }).manifest)
        if (this.orderResponse === 'drop') incoming.socket.destroy()
        else response.setHeader('content-type', 'application/json').end('{}')
      })
    })
  }

  async start (t: Test): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
    this.upstream = `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
    t.teardown(() => {
      this.engineOrders.stop()
      this.server.close()
      this.server.closeAllConnections()
    })
    this.engineOrders.start()
  }

  maySwap (): boolean { return this.swaps }
  async probe (): Promise<void> { this.engineOrders.recordEngineState(this.engine) }
  refuseWaiting (): void { this.hasBegun = true }
  changed (): void {}
}

const cases: readonly { readonly name: string, readonly change: (world: World) => void, readonly ordered: readonly string[] }[] = [
  { name: 'nothing changes', change: () => {}, ordered: [wanted] },
  { name: 'other weights are wanted', change: world => { world.wanted = other; world.swaps = false }, ordered: [] },
  { name: 'a chunk is no longer held', change: world => { world.isComplete = false }, ordered: [] },
  { name: 'another agent has the lease', change: world => { world.fence = undefined; world.isSuperseded = true }, ordered: [] },
  { name: 'the engine has restarted with the wanted weights', change: world => { world.engine = { ...world.engine, incarnation: 'b', weights: wanted }; world.unfinished = 0 }, ordered: [] },
  { name: 'the engine loads on the order of another agent', change: world => { world.engine = { ...world.engine, weights: null, loading: wanted }; world.unfinished = 0 }, ordered: [] }
]

for (const { name, change, ordered } of cases) {
  test(`late order of an agent: while requests still run, ${name}`, async t => {
    const world = new World()
    await world.start(t)
    await eventually(async () => world.hasBegun)
    change(world)
    await sleepUntil(monotonicNow() + 60)
    world.unfinished = 0
    await sleepUntil(monotonicNow() + 100)
    t.same(world.orders, ordered)
  })
}

test('late order of an agent: one whose answer is lost may begin later, and the weights that the engine then reports count', async t => {
  const world = new World()
  Object.assign(world, { orderResponse: 'drop', unfinished: 0 })
  await world.start(t)
  await eventually(async () => world.orders.length > 0)
  world.swaps = false
  await eventually(async () => world.engineOrders.served === old)
  world.engine = { ...world.engine, weights: null, loading: wanted }
  await eventually(async () => world.engineOrders.served === '')
  world.engine = { ...world.engine, weights: wanted, loading: null }
  await eventually(async () => world.engineOrders.served === wanted)
  t.same(world.orders, [wanted])
})
