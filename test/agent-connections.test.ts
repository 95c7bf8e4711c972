import type { Server } from 'node:http'
import { test } from 'tap'
import { EngineStandIn } from '../stand-in/engine.js'
import { ServiceStandIn } from '../stand-in/service.js'
import { SlotWorld, type Slot } from './fakes/slot.js'

type StandIn = EngineStandIn | ServiceStandIn
type Send = (world: SlotWorld, slot: Slot, number: number) => Promise<{ readonly status: number }>

const requestCount = 20
/** One for the probe, one for orders, and some spare for connections that reach their idle timeout on a slow machine. */
const maximumConnections = 6

const cases: ReadonlyArray<{ readonly name: string, readonly make: () => StandIn, readonly start: (world: SlotWorld, standIn: StandIn) => Promise<Slot>, readonly send: Send }> = [
  {
    name: 'an engine',
    make: () => new EngineStandIn(),
    start: async (world, standIn) => await world.addEngine(standIn as EngineStandIn),
    send: async (world, slot, number) => await world.prompt(slot, `request-${number}`, `prompt ${number}`, 2)
  },
  {
    name: 'a plain service',
    make: () => new ServiceStandIn(),
    start: async (world, standIn) => await world.addLedger(standIn as ServiceStandIn),
    send: async (world, slot, number) => await world.call(slot, { id: `request-${number}`, operation: 'look-up' })
  }
]

for (const { name, make, start, send } of cases) {
  test(`consecutive requests to ${name} share a verified connection`, async t => {
    const world = await SlotWorld.start()
    const standIn = make()
    let connections = 0
    const listen = standIn.listen.bind(standIn)
    standIn.listen = async (address: string): Promise<{ readonly server: Server, readonly port: number }> => {
      const listening = await listen(address)
      listening.server.on('connection', () => { connections += 1 })
      return listening
    }
    try {
      const slot = await start(world, standIn)
      for (let number = 0; number < requestCount; number += 1) t.equal((await send(world, slot, number)).status, 200)
      t.ok(connections <= maximumConnections, `${connections} connections`)
    } finally {
      await world.stop()
    }
  })
}
